package main

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/settings"
	"github.com/jujubeknot/jujubeknot/node"
)

// fileSettings has the sections and keys of the settings file.
type fileSettings struct {
	Node struct {
		Name             string           `ini:"name" check:"required|max=200" help:"name of the node"`
		Region           string           `ini:"region" default:"default" check:"max=200" help:"region of the VM"`
		AvailabilityZone string           `ini:"availabilityZone" check:"required|max=200" help:"availability zone of the VM"`
		ControlMembers   []netip.AddrPort `ini:"controlMembers" check:"required" help:"addresses of the control members"`
		NodeSecret       string           `ini:"nodeSecret" check:"required|min=16|secret" help:"secret that control asks nodes for"`
		LinkMbps         float64          `ini:"linkMbps" check:"min=0|max=1000000" help:"rate of the VM's link in Mbit/s, by which bodies of calls are received; 0 if unknown"`
	} `ini:"node"`
	Listen struct {
		Callers netip.AddrPort `ini:"callers" check:"required" help:"address for callers"`
		// CallersTLS is optional.
		CallersTLS netip.AddrPort `ini:"callersTls" help:"further address for callers, with TLS"`
		Peer       netip.AddrPort `ini:"peer" check:"required" help:"address for other nodes"`
		Backend    netip.AddrPort `ini:"backend" check:"required" help:"address for the backend server's announcements"`
		Operator   netip.AddrPort `ini:"operator" check:"required" help:"address for operators"`
	} `ini:"listen"`
	TLS struct {
		CertificateFile string `ini:"certificateFile" help:"certificate for callersTls and those that signed it (PEM)"`
		KeyFile         string `ini:"keyFile" help:"key of the certificate (PEM)"`
	} `ini:"tls"`
	Callers struct {
		MaxConnections  int           `ini:"maxConnections" default:"4096" check:"min=1|max=1000000" help:"connections of callers at a time; the backend server's own get as many again"`
		MaxHeaderFields int           `ini:"maxHeaderFields" default:"8192" check:"min=64|max=1000000" help:"fields in the header of a caller's request"`
		MaxMemory       int           `ini:"maxMemory" default:"0" check:"min=0|max=1000000" help:"memory in MB that callers may hold with connections, headers, bodies and answers that they have not read; 0 is half of the soft memory limit"`
		IdleTimeout     time.Duration `ini:"idleTimeout" default:"2m" check:"min=1s|max=1h" help:"time without a request after which a caller's connection is closed"`
	} `ini:"callers"`
	Backend struct {
		HealthInterval time.Duration `ini:"healthInterval" default:"250ms" check:"min=10ms|max=10s" help:"time between health questions to a backend server that shows no other sign of life"`
		ConnectTimeout time.Duration `ini:"connectTimeout" default:"500ms" check:"min=1ms|max=10s" help:"bound on a new connection to the backend server"`
	} `ini:"backend"`
	Stop struct {
		DrainTimeout time.Duration `ini:"drainTimeout" default:"15s" check:"min=0s|max=1h" help:"bound on planned moves when the node stops, and on the end of requests"`
	} `ini:"stop"`
	Log      logSettings `ini:"log"`
	Operator struct {
		Access     string `ini:"access" default:"loopback" check:"oneof=loopback,secret" help:"who may use the operator port"`
		SecretFile string `ini:"secretFile" help:"file with the secret for access=secret"`
	} `ini:"operator"`
}

type logSettings struct {
	Level  string `ini:"level" default:"info" check:"oneof=debug,info,warn,error" help:"least level that is written"`
	Format string `ini:"format" default:"json" check:"oneof=json,console" help:"form of the lines"`
	// The maximum keeps a mistyped number from dropping nearly all lines.
	RoutingSample int `ini:"routingSample" default:"1" check:"min=1|max=100000" help:"lines of completed routing decisions are written for one in this number of requests"`
}

// load reads and validates the settings file. The error names the file, the line and
// the expected value for each fault.
func load(file string) (node.Config, logSettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return node.Config{}, logSettings{}, fmt.Errorf("settings file: %w", err)
	}
	var s fileSettings
	if err := settings.Decode(file, data, &s); err != nil {
		return node.Config{}, logSettings{}, err
	}
	cfg := node.Config{
		Name: s.Node.Name, Region: s.Node.Region, AvailabilityZone: s.Node.AvailabilityZone,
		ControlMembers: s.Node.ControlMembers, NodeSecret: s.Node.NodeSecret, LinkMbps: s.Node.LinkMbps,
		Callers: s.Listen.Callers, Peer: s.Listen.Peer, Backend: s.Listen.Backend, Operator: s.Listen.Operator,
		HealthInterval: s.Backend.HealthInterval, ConnectTimeout: s.Backend.ConnectTimeout, DrainTimeout: s.Stop.DrainTimeout,
		CallerMaxConnections: s.Callers.MaxConnections, CallerIdleTimeout: s.Callers.IdleTimeout,
		CallerMaxHeaderFields: s.Callers.MaxHeaderFields, CallerMemory: int64(s.Callers.MaxMemory) << 20,
		RoutingSample: s.Log.RoutingSample,
		CallersTLS:    s.Listen.CallersTLS, CertificateFile: s.TLS.CertificateFile, KeyFile: s.TLS.KeyFile,
	}
	if err := s.checkTLS(file); err != nil {
		return cfg, s.Log, err
	}
	if s.Listen.Peer.Addr().IsUnspecified() {
		return cfg, s.Log, errors.Errorf("%s: listen.peer: found %s, expected an address that other nodes can connect to", file, s.Listen.Peer)
	}
	if s.Operator.Access == "secret" {
		if cfg.OperatorSecret, err = readSecret(file, s.Operator.SecretFile); err != nil {
			return cfg, s.Log, err
		}
	}
	return cfg, s.Log, nil
}

// checkTLS returns an error if TLS for callers is only partly configured: the
// address needs both files, and files need the address.
func (s *fileSettings) checkTLS(file string) error {
	complete := s.TLS.CertificateFile != "" && s.TLS.KeyFile != ""
	empty := s.TLS.CertificateFile == "" && s.TLS.KeyFile == ""
	switch {
	case s.Listen.CallersTLS.IsValid() && !complete:
		return errors.Errorf("%s: tls: expected certificateFile and keyFile because listen.callersTls is set", file)
	case !s.Listen.CallersTLS.IsValid() && !empty:
		return errors.Errorf("%s: listen.callersTls: found nothing, expected an address because the section tls is set", file)
	}
	return nil
}

func readSecret(file, secretFile string) (string, error) {
	if secretFile == "" {
		return "", errors.Errorf("%s: operator.secretFile: found nothing, expected a file name because operator.access is secret", file)
	}
	data, err := os.ReadFile(secretFile)
	if err != nil {
		return "", fmt.Errorf("%s: operator.secretFile: %w", file, err)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < 16 {
		return "", errors.Errorf("%s: operator.secretFile: found %d bytes in %s, expected a secret of at least 16", file, len(secret), secretFile)
	}
	return secret, nil
}
