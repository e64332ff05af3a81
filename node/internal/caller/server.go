package caller

import (
	"net/http"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

// Server returns an HTTP server for the handler with the bounds for callers.
func (h *Handler) Server() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h.wrapped(), Protocols: protocols, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: h.cfg.HeaderTimeout, IdleTimeout: h.cfg.IdleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: streamWindow,
			MaxReceiveBufferPerConnection: 4 * streamWindow,
		},
	}
}

// PipelineServer returns a server for HTTP/1.1 that runs requests of one
// connection beside each other. Other serves HTTP/2.
func (h *Handler) PipelineServer(other *http.Server) *pipeline.Server {
	return &pipeline.Server{
		Handler: h.wrapped(), HTTP2: other, ErrorLog: other.ErrorLog, MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout: h.cfg.HeaderTimeout, IdleTimeout: h.cfg.IdleTimeout,
	}
}

// wrapped returns the handler as callers reach it.
func (h *Handler) wrapped() http.Handler {
	if h.cfg.Dialect == nil {
		return h
	}
	return h.cfg.Dialect.Callers.Wrap(h)
}
