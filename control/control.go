// Package control is a member of the control group, which keeps the durable
// state and grants leases to nodes.
package control
