// Package ctl is the operators' command line.
package ctl
