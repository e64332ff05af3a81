// Package node is the process beside each backend server: it takes callers'
// requests, finds the owner of the key, forwards to the owner's node, and
// guards the backend server on its own VM.
package node
