package main

import (
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/slope"
)

type probeCommand struct {
	command
	Targets   string  `long:"targets" required:"true" description:"callers' addresses of nodes, separated by commas"`
	Operators string  `long:"operators" required:"true" description:"operator addresses of control members, separated by commas"`
	Records   string  `long:"records" required:"true" description:"folder with the records of the stand-ins"`
	Listen    string  `long:"listen" required:"true" description:"address to take orders at"`
	Keys      int     `long:"keys" default:"32" description:"number of keys to probe"`
	Rate      float64 `long:"rate" default:"50" description:"requests per second that may run only once"`
	Seed      uint64  `long:"seed" default:"1" description:"seed of the load"`
}

func (c *probeCommand) run(ctx context.Context) error {
	recovery := slope.NewRecovery(slope.RecoveryConfig{
		Targets: strings.Split(c.Targets, ","), Operators: strings.Split(c.Operators, ","), Records: c.Records,
		Keys: c.Keys, Rate: c.Rate, Seed: c.Seed, Out: os.Stdout,
	})
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen for orders: %w", err)
	}
	server := &http.Server{Handler: recovery.Handler(), ReadHeaderTimeout: time.Minute}
	serverDone := make(chan error, 1)
	go func() { serverDone <- server.Serve(l) }()
	err = recovery.Run(ctx)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err = stderrors.Join(err, server.Shutdown(shutdownCtx))
	<-serverDone
	return err
}
