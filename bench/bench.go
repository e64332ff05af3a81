// Package bench is the parent of the packages that test and measure the system:
// stand-in backend servers, load, fault tests, experiments and the demo.
package bench
