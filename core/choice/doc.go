// Package choice selects a node for requests of upstreams that are not divided by key.
package choice
