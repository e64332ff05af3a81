package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// Server returns an HTTP server for the handler with the limits for callers. It
// serves HTTP/1.1 and unencrypted HTTP/2.
func (h *Handler) Server() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h.callerHandler(), Protocols: protocols, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: h.cfg.HeaderTimeout, IdleTimeout: h.cfg.IdleTimeout,
		BaseContext: func(net.Listener) context.Context { return h.requests },
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: streamWindowBytes,
			MaxReceiveBufferPerConnection: 4 * streamWindowBytes,
		},
	}
}

// PipelineServer returns an HTTP/1.1 server that runs pipelined requests of a
// connection concurrently. The argument other serves connections that use
// HTTP/2, and its ErrorLog is used for both.
func (h *Handler) PipelineServer(other *http.Server) *pipeline.Server {
	busy := fmt.Sprintf("Retry-After: %.3f\r\n", memoryRetryAfter.Seconds())
	if h.cfg.Dialect == nil {
		busy = fmt.Sprintf("Retry-After: 1\r\n%s: %s\r\n%s: %d\r\n", headers.Outcome, outcome.OutcomeNotRun, headers.RetryAfterMs, memoryRetryAfter.Milliseconds())
	}
	return &pipeline.Server{
		Ledger: h.cfg.Ledger, BusyHeader: busy, MaxHeaderFields: h.cfg.MaxHeaderFields,
		Handler: h.callerHandler(), HTTP2: other, ErrorLog: other.ErrorLog, MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout: h.cfg.HeaderTimeout, IdleTimeout: h.cfg.IdleTimeout,
	}
}

// callerHandler returns the handler for callers' requests: h, wrapped by the
// dialect if there is one.
func (h *Handler) callerHandler() http.Handler {
	if h.cfg.Dialect == nil {
		return h
	}
	return h.cfg.Dialect.Callers.Wrap(h)
}
