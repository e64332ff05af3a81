// Jujubeknotctl is the command line program for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jujubeknot/jujubeknot/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
