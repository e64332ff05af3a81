package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

const (
	announceInterval   = time.Second
	announceTimeout    = time.Second
	standInSlots       = 6
	standInConnections = 110
)

// StandIns announces a stand-in backend server to each of count ports, starting
// at firstPort, until the context ends. The stand-ins answer health, load and
// grant calls and run no requests.
func StandIns(ctx context.Context, count int, firstPort uint16, upstream string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the stand-ins: %w", err)
	}
	// All stand-ins share one listener. A node knows its own by the announcement
	// it receives.
	server := &http.Server{Handler: standInHandler(), ReadHeaderTimeout: time.Minute}
	result := make(chan error, 1)
	go func() { result <- server.Serve(l) }()
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			body, err := json.Marshal(map[string]any{
				"name": fmt.Sprintf("%s-%d", upstream, i), "upstream": upstream, "address": l.Addr().String(), "bootId": bootID,
				"slots": standInSlots, "connections": standInConnections, "checksFences": true,
			})
			if err != nil {
				panic(err)
			}
			announce(ctx, client, fmt.Sprintf("http://127.0.0.1:%d/v1/announce", int(firstPort)+i), body)
		})
	}
	group.Wait()
	err = server.Close()
	<-result
	return err
}

// bootID is the same for all stand-ins, which never restart.
const bootID = "fleet-1"

// announce repeats an announcement until the context ends. Failed calls are
// ignored: a node that is not running receives a later announcement.
func announce(ctx context.Context, client *http.Client, url string, body []byte) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body)); err == nil {
			q.Header.Set("Content-Type", "application/json")
			if r, err := client.Do(q); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func standInHandler() http.Handler {
	respond := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Jujubeknot-Boot-Id", bootID)
			_, _ = io.WriteString(w, text)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", respond(`{"bootId":"`+bootID+`","healthy":true,"cold":false}`))
	mux.HandleFunc("GET /v1/load", respond(`{"inFlight":0,"queued":0}`))
	mux.HandleFunc("POST /v1/grant", func(w http.ResponseWriter, r *http.Request) {
		// Every grant is accepted, whatever its lease and version.
		var g lease.Grant
		if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		respond(fmt.Sprintf(`{"lease":%d,"version":%d}`, g.Lease, g.Version))(w, r)
	})
	mux.HandleFunc("POST /v1/drain", respond(`{"drain":true}`))
	mux.HandleFunc("POST /v1/cancel", respond(`{"cancelled":false}`))
	return mux
}
