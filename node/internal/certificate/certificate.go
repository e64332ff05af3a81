// Package certificate loads the TLS certificate that a node presents to
// callers, and reloads it when its files change.
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
	// DefaultInterval is the interval at which the files are checked for
	// changes.
	DefaultInterval = 10 * time.Second
	// expiryWarningPeriod is the time before the expiry of a certificate in
	// which a warning is logged once a day.
	expiryWarningPeriod = 14 * 24 * time.Hour
	warningInterval     = 24 * time.Hour
)

// Config has the settings of a certificate. Both files are required and are in
// PEM format. The certificate file may have intermediate certificates after the
// first.
type Config struct {
	CertificateFile string
	KeyFile         string
	// Interval is the interval at which the files are checked. Default
	// DefaultInterval.
	Interval time.Duration
	Log      zerolog.Logger
	// Now returns the time against which the validity of certificates is
	// checked. Default time.Now.
	Now func() time.Time
}

// Files has the latest valid certificate that was loaded from its files. It is
// safe for concurrent use. Run must be called at most once.
type Files struct {
	cfg     Config
	current atomic.Pointer[tls.Certificate]

	mu        sync.Mutex
	loaded    [2]fileVersion
	lastError string
	warnedAt  time.Time
}

// fileVersion is compared to detect whether a file has changed.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Load loads the files. It returns an error if a file cannot be read, the key
// does not belong to the certificate, or the certificate is not valid at this
// time.
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

// TLS returns a configuration that presents the latest certificate. Connections
// use TLS 1.2 or later, and HTTP/2 if the caller offers it.
func (f *Files) TLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.current.Load(), nil },
	}
}

// Expires returns when the certificate in use expires.
func (f *Files) Expires() time.Time { return f.current.Load().Leaf.NotAfter }

// Run checks the files at each interval until the context ends.
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

// Check reloads the files if they have changed. If they are not valid, the
// certificate in use stays, and each distinct error is logged once. Check also
// logs a warning if the certificate in use expires soon.
func (f *Files) Check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warnExpiry()
	found, err := f.versions()
	if err == nil && found == f.loaded && f.lastError == "" {
		return
	}
	if err == nil {
		err = f.reload()
	}
	if err != nil {
		if f.lastError != err.Error() {
			f.cfg.Log.Error().Err(err).Msg("certificate cannot be reloaded; the one in use stays")
		}
		f.lastError = err.Error()
		return
	}
	f.lastError, f.warnedAt = "", time.Time{}
	f.cfg.Log.Info().Time("expires", f.Expires()).Msg("certificate was read again")
}

// reload loads the files and uses their certificate for new connections.
func (f *Files) reload() error {
	// The versions are read first, so that a change while the files are read is
	// detected by the next check.
	found, err := f.versions()
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
	f.loaded = found
	f.current.Store(&c)
	return nil
}

func (f *Files) versions() (v [2]fileVersion, err error) {
	for i, file := range []string{f.cfg.CertificateFile, f.cfg.KeyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return v, fmt.Errorf("certificate: %w", err)
		}
		v[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return v, nil
}

func (f *Files) warnExpiry() {
	now := f.cfg.Now()
	remaining := f.Expires().Sub(now)
	if remaining > expiryWarningPeriod || now.Sub(f.warnedAt) < warningInterval {
		return
	}
	f.warnedAt = now
	f.cfg.Log.Warn().Time("expires", f.Expires()).Str("file", f.cfg.CertificateFile).Msg("certificate ends soon")
}
