// Package bench is the laboratory: stand-in backend servers, load, experiments
// and the demo.
package bench
