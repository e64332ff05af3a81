package node_test

import (
	"crypto/x509"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
)

// certificateFiles writes the certificate and the key of net/http/httptest to files, and
// returns a client that trusts the certificate.
func certificateFiles(t *testing.T) (certificateFile, keyFile string, client *http.Client) {
	t.Helper()
	s := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	c := s.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	files := [2]string{filepath.Join(t.TempDir(), "certificate.pem"), filepath.Join(t.TempDir(), "key.pem")}
	for i, b := range []*pem.Block{{Type: "CERTIFICATE", Bytes: c.Certificate[0]}, {Type: "PRIVATE KEY", Bytes: key}} {
		if err := os.WriteFile(files[i], pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files[0], files[1], s.Client()
}

// TestCallersWithTLS guards against requests of callers that cross the network
// unencrypted, and against a graceful stop that aborts requests with TLS.
func TestCallersWithTLS(t *testing.T) {
	c := newControl(t, testRules)
	server := newBackend(t, "server1", "applications")
	certificateFile, keyFile, client := certificateFiles(t)
	n := startNode(t, c, "owner", server, func(cfg *node.Config) {
		cfg.CallersTLS, cfg.CertificateFile, cfg.KeyFile = loopback, certificateFile, keyFile
		// The control of this test moves no partitions away.
		cfg.DrainTimeout = time.Second
	})
	address := n.Addresses().CallersTLS.String()
	eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	for _, version := range []int{1, 2} {
		transport := client.Transport.(*http.Transport).Clone()
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetHTTP1(version == 1)
		transport.Protocols.SetHTTP2(version == 2)
		r, err := (&http.Client{Transport: transport}).Post("https://"+address+"/applications/k", "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil || r.StatusCode != 200 || r.ProtoMajor != version || string(body) != "server1 POST /applications/k x" {
			t.Errorf("HTTP/%d: protocol %s, status %d, body %q, error %v", version, r.Proto, r.StatusCode, body, err)
		}
		transport.CloseIdleConnections()
	}
	if a := send("GET", "http://"+address+"/applications/k", nil, nil); a.status == 200 {
		t.Error("a request without TLS succeeded on the port with TLS")
	}
	if _, err := client.Get("https://" + n.Addresses().Callers.String() + "/applications/k"); err == nil {
		t.Error("a request with TLS succeeded on the port without TLS")
	}
	if v := vars(t, n)["certificateEnds"]; v != "2084-01-29T16:00:00Z" {
		t.Errorf("certificateEnds is %v, want 2084-01-29T16:00:00Z", v)
	}

	started, release := make(chan struct{}), make(chan struct{})
	server.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "signed")
	})
	ended := make(chan error, 1)
	go func() {
		r, err := client.Get("https://" + address + "/applications/k")
		if err == nil {
			_, err = io.ReadAll(r.Body)
			_ = r.Body.Close()
		}
		ended <- err
	}()
	<-started
	n.stop()
	eventually(t, "no new connections", func() bool {
		nc, err := net.Dial("tcp", address)
		if err == nil {
			_ = nc.Close()
		}
		return err != nil
	})
	close(release)
	if err := <-ended; err != nil {
		t.Errorf("request during a graceful stop: %v", err)
	}
	if err := <-n.done; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// TestTLSRequiresFiles guards against a node that starts without the certificate that
// its settings require.
func TestTLSRequiresFiles(t *testing.T) {
	cfg := node.Config{
		Name: "n", AvailabilityZone: "z", ControlMembers: []netip.AddrPort{loopback}, NodeSecret: nodeSecret,
		Callers: loopback, Peer: loopback, Backend: loopback, Operator: loopback, CallersTLS: loopback,
	}
	if _, err := node.New(cfg); err == nil || !strings.Contains(err.Error(), "certificate and its key") {
		t.Errorf("no files: error %v, want one about the certificate and its key", err)
	}
	cfg.CertificateFile, cfg.KeyFile = "testdata/missing.pem", "testdata/missing.pem"
	if _, err := node.New(cfg); err == nil || !strings.Contains(err.Error(), "TLS for callers") {
		t.Errorf("missing files: error %v, want one about TLS for callers", err)
	}
}
