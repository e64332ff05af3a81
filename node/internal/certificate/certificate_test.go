package certificate_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/node/internal/certificate"
)

var today = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// write writes a self-signed certificate with a serial number, and its key, to a
// folder.
func write(t *testing.T, folder string, serial int64, from, to time.Time) (certificateFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: from, NotAfter: to, DNSNames: []string{"localhost"}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := [2]string{filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")}
	for i, b := range []*pem.Block{{Type: "CERTIFICATE", Bytes: der}, {Type: "EC PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(files[i], pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
		// Different modification times, also for files that are written within the
		// resolution of the clock.
		if err := os.Chtimes(files[i], today, today.Add(time.Duration(serial)*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	return files[0], files[1]
}

func serial(t *testing.T, f *certificate.Files) int64 {
	t.Helper()
	c, err := f.TLS().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Leaf.SerialNumber.Int64()
}

// TestChangedFilesAreReloaded guards against a node that must be restarted to use a
// new certificate, and against one that replaces its certificate by a file that is
// only partly written.
func TestChangedFilesAreReloaded(t *testing.T) {
	folder := t.TempDir()
	var log bytes.Buffer
	cert, key := write(t, folder, 1, today.Add(-time.Hour), today.Add(90*24*time.Hour))
	f, err := certificate.Load(certificate.Config{CertificateFile: cert, KeyFile: key, Now: func() time.Time { return today }, Log: zerolog.New(&log)})
	if err != nil {
		t.Fatal(err)
	}
	f.Check()
	if serial(t, f) != 1 || log.Len() != 0 {
		t.Fatalf("unchanged files: got certificate %d, log %q; want certificate 1 and an empty log", serial(t, f), &log)
	}
	complete, err := os.ReadFile(cert)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cert, complete[:len(complete)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	f.Check()
	f.Check()
	if n := strings.Count(log.String(), "cannot be reloaded"); serial(t, f) != 1 || n != 1 {
		t.Fatalf("partly written file: got certificate %d and %d log lines, want certificate 1 and 1 line", serial(t, f), n)
	}
	write(t, folder, 2, today.Add(-time.Hour), today.Add(90*24*time.Hour))
	f.Check()
	if serial(t, f) != 2 || !strings.Contains(log.String(), "was read again") {
		t.Fatalf("new files: got certificate %d, log %q; want certificate 2 and a log line", serial(t, f), &log)
	}
}

// TestInvalidFilesAreRejected guards against a node that starts with a certificate
// that no caller would accept.
func TestInvalidFilesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		from, to time.Duration
		want     string
	}{
		"expired":       {-48 * time.Hour, -time.Hour, "has expired at 2026-12-04T11:00:00Z"},
		"not yet valid": {time.Hour, 48 * time.Hour, "is valid from 2026-12-04T13:00:00Z on"},
	} {
		cert, key := write(t, t.TempDir(), 1, today.Add(c.from), today.Add(c.to))
		_, err := certificate.Load(certificate.Config{CertificateFile: cert, KeyFile: key, Now: func() time.Time { return today }})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", name, err, c.want)
		}
	}
	cert, _ := write(t, t.TempDir(), 1, today.Add(-time.Hour), today.Add(time.Hour))
	_, other := write(t, t.TempDir(), 2, today.Add(-time.Hour), today.Add(time.Hour))
	if _, err := certificate.Load(certificate.Config{CertificateFile: cert, KeyFile: other}); err == nil || !strings.Contains(err.Error(), "does not match") {
		t.Errorf("key of another certificate: got error %v, want a mismatch", err)
	}
	if _, err := certificate.Load(certificate.Config{CertificateFile: cert, KeyFile: cert + "x"}); !os.IsNotExist(err) && (err == nil || !strings.Contains(err.Error(), "no such file")) {
		t.Errorf("missing key: got error %v, want no such file", err)
	}
}

// TestExpiryWarningIsLoggedOnceADay guards against a certificate that expires without
// a warning, and against a warning at each check of the files.
func TestExpiryWarningIsLoggedOnceADay(t *testing.T) {
	now := today
	var log bytes.Buffer
	cert, key := write(t, t.TempDir(), 1, today.Add(-time.Hour), today.Add(15*24*time.Hour))
	f, err := certificate.Load(certificate.Config{CertificateFile: cert, KeyFile: key, Now: func() time.Time { return now }, Log: zerolog.New(&log)})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 * 24 {
		f.Check()
		now = now.Add(time.Hour)
	}
	if n := strings.Count(log.String(), "ends soon"); n != 2 {
		t.Errorf("got %d warnings, want 2: of 3 days, the last 2 are within 14 days of the expiry", n)
	}
}
