package control

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/core/placement"
	"github.com/jujubeknot/jujubeknot/core/settings"
)

// Access defines which requests the operator port admits.
type Access string

// Values of Access.
const (
	// AccessLoopback admits requests from the same machine.
	AccessLoopback Access = "loopback"
	// AccessSecret admits requests that carry the shared secret as bearer token.
	AccessSecret Access = "secret"
)

// minSecretBytes is the minimum length of a secret. Shorter ones can be
// guessed.
const minSecretBytes = 16

// Settings is the content of the settings file of a control member.
type Settings struct {
	Control struct {
		Name             string            `ini:"name" check:"required" help:"name of this member in logs"`
		MemberID         uint64            `ini:"memberId" check:"required|min=1" help:"id of this member, never used again after its disk was lost"`
		GroupID          string            `ini:"groupId" check:"required" help:"name of the control group, the same at all members"`
		DataFolder       string            `ini:"dataFolder" check:"required" help:"folder of the log and snapshots"`
		Region           string            `ini:"region" check:"required" help:"region of this VM"`
		AvailabilityZone string            `ini:"availabilityZone" check:"required" help:"availability zone of this VM"`
		Members          []settings.Member `ini:"members" check:"required|min=1|max=7" help:"members of the group at its first start, as id=address"`
		MemberSecret     string            `ini:"memberSecret" check:"required|secret|min=16" help:"shared secret of the members"`
		NodeSecret       string            `ini:"nodeSecret" check:"required|secret|min=16" help:"shared secret that nodes present"`
	} `ini:"control"`
	Listen struct {
		Peer     netip.AddrPort `ini:"peer" check:"required" help:"address for members and nodes"`
		Operator netip.AddrPort `ini:"operator" check:"required" help:"address for operators"`
	} `ini:"listen"`
	Lease struct {
		Duration      time.Duration `ini:"duration" default:"1500ms" check:"min=100ms|max=1m" help:"duration of a node's lease"`
		RenewInterval time.Duration `ini:"renewInterval" default:"400ms" check:"min=10ms|max=20s" help:"time between renewals, at most a third of the duration"`
		Margin        time.Duration `ini:"margin" default:"20ms" check:"min=1ms|max=10s" help:"time added to a lease at control"`
	} `ini:"lease"`
	Operator struct {
		Access     string `ini:"access" default:"loopback" check:"oneof=loopback,secret" help:"who may use the operator port"`
		SecretFile string `ini:"secretFile" help:"file with the shared secret for access=secret"`
	} `ini:"operator"`
	Log struct {
		Level  string `ini:"level" default:"info" check:"oneof=debug,info,warn,error" help:"least level that is logged"`
		Format string `ini:"format" default:"json" check:"oneof=json,console" help:"format of log lines"`
	} `ini:"log"`
	Placement struct {
		Policy          string        `ini:"policy" default:"balanced" check:"oneof=balanced,random,roundRobin,hashing" help:"policy of upstreams whose rules name none"`
		ChurnPerMinute  float64       `ini:"churnPerMinute" default:"0.05" check:"min=0.001|max=1" help:"share of partitions that balancing may move in a minute"`
		ReturnPerMinute float64       `ini:"returnPerMinute" default:"0" check:"min=0|max=1" help:"share of partitions that may be moved in a minute to servers that return; 0 takes them from churnPerMinute"`
		BudgetWindow    time.Duration `ini:"budgetWindow" default:"1m" check:"min=1s|max=1h" help:"time within which the part of churnPerMinute and returnPerMinute that falls to it may be used up"`
		MovesInFlight   int           `ini:"movesInFlight" default:"128" check:"min=1|max=10000" help:"planned moves of one upstream at a time"`
		MoveTimeout     time.Duration `ini:"moveTimeout" default:"2s" check:"min=10ms|max=1m" help:"time that a planned move waits for requests in flight"`
	} `ini:"placement"`
}

// LoadSettings decodes and checks the content of a settings file. The file name
// is used only in errors.
func LoadSettings(file string, data []byte) (Settings, error) {
	var s Settings
	if err := settings.Decode(file, data, &s); err != nil {
		return s, fmt.Errorf("settings:\n%w", err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("settings: %s: %w", file, err)
	}
	return s, nil
}

// check validates settings that depend on each other.
func (s *Settings) check() error {
	if s.Lease.RenewInterval > s.Lease.Duration/3 {
		return errors.Errorf("lease.renewInterval: found %v, expected at most a third of lease.duration %v, so that two renewals may be lost",
			s.Lease.RenewInterval, s.Lease.Duration)
	}
	own := false
	for _, m := range s.Control.Members {
		own = own || m.ID == s.Control.MemberID
	}
	if !own && len(s.Control.Members) == 1 {
		return errors.Errorf("control.members: found only %v, expected this member (memberId %d) or at least one other to join", s.Control.Members[0], s.Control.MemberID)
	}
	if Access(s.Operator.Access) == AccessSecret && s.Operator.SecretFile == "" {
		return errors.New("operator.secretFile: found no value, expected a file because operator.access is secret")
	}
	return nil
}

// Config returns the configuration that the settings describe. It reads the
// secret file for operators and creates the logger, which writes to standard
// error.
func (s *Settings) Config() (Config, error) {
	c := Config{
		Name: s.Control.Name, MemberID: s.Control.MemberID, GroupID: s.Control.GroupID, DataFolder: s.Control.DataFolder,
		Region: s.Control.Region, AvailabilityZone: s.Control.AvailabilityZone, InitialMembers: s.Control.Members,
		MemberSecret: s.Control.MemberSecret, NodeSecret: s.Control.NodeSecret,
		Peer: s.Listen.Peer, Operator: s.Listen.Operator,
		Lease: lease.Config{Duration: s.Lease.Duration, RenewInterval: s.Lease.RenewInterval, Margin: s.Lease.Margin},
		Placement: placement.Config{
			ChurnPerMinute: s.Placement.ChurnPerMinute, ReturnPerMinute: s.Placement.ReturnPerMinute,
			BudgetWindow: s.Placement.BudgetWindow, MovesInFlight: s.Placement.MovesInFlight,
		},
		Policy:      s.Placement.Policy,
		MoveTimeout: s.Placement.MoveTimeout,
	}
	if Access(s.Operator.Access) == AccessSecret {
		data, err := os.ReadFile(s.Operator.SecretFile)
		if err != nil {
			return c, fmt.Errorf("operator.secretFile: %w", err)
		}
		c.OperatorSecret = strings.TrimSpace(string(data))
		if len(c.OperatorSecret) < minSecretBytes {
			return c, errors.Errorf("operator.secretFile: %s has %d bytes, expected at least %d", s.Operator.SecretFile, len(c.OperatorSecret), minSecretBytes)
		}
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return c, fmt.Errorf("log.level: %w", err)
	}
	c.Logger = zerolog.New(os.Stderr)
	if s.Log.Format == "console" {
		c.Logger = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.RFC3339Nano})
	}
	c.Logger = c.Logger.Level(level).With().Timestamp().Str("member", s.Control.Name).Logger()
	return c, nil
}
