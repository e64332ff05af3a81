// Package routing is a node's immutable view of nodes, assignments and rules, and decides where a request goes.
package routing
