// Package certificate reads the certificate that callers are shown, and reads
// it again when its files change.
package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// DefaultInterval is the time between two looks at the files.
	DefaultInterval = 10 * time.Second
	// warnBefore is the time before the end of a certificate from which on each
	// day has a warning.
	warnBefore = 14 * 24 * time.Hour
	day        = 24 * time.Hour
)

// Config names the files. Both are required and hold PEM; the certificate's
// file may have intermediate ones after the first.
type Config struct {
	CertificateFile string
	KeyFile         string
	// Interval defaults to DefaultInterval.
	Interval time.Duration
	Log      zerolog.Logger
	// Now is the time of day that certificates are checked against. Default
	// time.Now.
	Now func() time.Time
}

// Files has the latest valid certificate of two files. It is safe for
// concurrent use; Run must be called once at most.
type Files struct {
	cfg     Config
	current atomic.Pointer[tls.Certificate]

	mu       sync.Mutex
	read     [2]version
	failed   string
	warnedAt time.Time
}

// version tells whether a file has changed.
type version struct {
	modified time.Time
	size     int64
}

// Load reads the files. The error says which file cannot be read, that they
// don't belong together, or that the certificate is not valid at this time.
func Load(cfg Config) (*Files, error) {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	f := &Files{cfg: cfg}
	if err := f.reload(); err != nil {
		return nil, err
	}
	return f, nil
}

// TLS returns a configuration that shows the latest certificate. Connections
// use TLS 1.2 or later, and HTTP/2 where the caller offers it.
func (f *Files) TLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.current.Load(), nil },
	}
}

// Expires returns when the certificate in use ends.
func (f *Files) Expires() time.Time { return f.current.Load().Leaf.NotAfter }

// Run looks at the files until the context ends.
func (f *Files) Run(ctx context.Context) {
	ticker := time.NewTicker(f.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.Check()
		}
	}
}

// Check reads the files if they have changed. Files that are not valid leave
// the certificate in use as it is; the log says so once for each fault.
func (f *Files) Check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warnExpiry()
	now, err := f.versions()
	if err == nil && now == f.read && f.failed == "" {
		return
	}
	if err == nil {
		err = f.reload()
	}
	if err != nil {
		if f.failed != err.Error() {
			f.cfg.Log.Error().Err(err).Msg("certificate cannot be read again; the one in use stays")
		}
		f.failed = err.Error()
		return
	}
	f.failed, f.warnedAt = "", time.Time{}
	f.cfg.Log.Info().Time("expires", f.Expires()).Msg("certificate was read again")
}

// reload puts the certificate of the files in use.
func (f *Files) reload() error {
	// The versions are taken first, so that a change during the read is seen at
	// the next look.
	read, err := f.versions()
	if err != nil {
		return err
	}
	c, err := tls.LoadX509KeyPair(f.cfg.CertificateFile, f.cfg.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", f.cfg.CertificateFile, f.cfg.KeyFile, err)
	}
	if c.Leaf == nil {
		if c.Leaf, err = x509.ParseCertificate(c.Certificate[0]); err != nil {
			return fmt.Errorf("certificate %s: %w", f.cfg.CertificateFile, err)
		}
	}
	now := f.cfg.Now()
	switch {
	case now.Before(c.Leaf.NotBefore):
		return errors.Errorf("certificate %s is valid from %s on", f.cfg.CertificateFile, c.Leaf.NotBefore.Format(time.RFC3339))
	case now.After(c.Leaf.NotAfter):
		return errors.Errorf("certificate %s has expired at %s", f.cfg.CertificateFile, c.Leaf.NotAfter.Format(time.RFC3339))
	}
	f.read = read
	f.current.Store(&c)
	return nil
}

func (f *Files) versions() (v [2]version, err error) {
	for i, file := range []string{f.cfg.CertificateFile, f.cfg.KeyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return v, fmt.Errorf("certificate: %w", err)
		}
		v[i] = version{modified: info.ModTime(), size: info.Size()}
	}
	return v, nil
}

func (f *Files) warnExpiry() {
	now := f.cfg.Now()
	left := f.Expires().Sub(now)
	if left > warnBefore || now.Sub(f.warnedAt) < day {
		return
	}
	f.warnedAt = now
	f.cfg.Log.Warn().Time("expires", f.Expires()).Str("file", f.cfg.CertificateFile).Msg("certificate ends soon")
}
