package replica

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/clock"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Defaults of the configuration.
const (
	// DefaultSnapshotEntries bounds the entries that are read at a restart.
	DefaultSnapshotEntries = 10_000
	// DefaultSnapshotBytes bounds the log between two snapshots.
	DefaultSnapshotBytes = 32 << 20
	// DefaultKeepEntries lets a member that was away for a short time catch up
	// without a snapshot.
	DefaultKeepEntries = 1_000
	// DefaultConfirmInterval is the shortest time between two quorum rounds.
	DefaultConfirmInterval = 10 * time.Millisecond
	// DefaultStopTimeout bounds the handing over of leadership at the end.
	DefaultStopTimeout = time.Second
	// maxCommandBytes bounds one command, well below the limits of a record
	// and of a request.
	maxCommandBytes = 16 << 20
)

// Config of a Replica. Zero values mean the defaults where there is one.
type Config struct {
	// GroupID, MemberID, Address, Secret, Files and Clock are required.
	GroupID  string
	MemberID uint64
	// Address at which other members reach this one.
	Address string
	// OperatorAddress is the address at which operators reach this member, empty if
	// there is none.
	OperatorAddress string
	Secret          string
	Files           disk.FS
	Clock           clock.Clock
	// Initial lists the members with which the group is first formed, with ids
	// and addresses. A member that is not listed waits until it is added.
	Initial []*wirev1.Member
	Logger  zerolog.Logger
	// AvailabilityZone of this member. Voters are spread over zones.
	AvailabilityZone string
	// Discovery describes groups that find their members themselves. Nil means
	// that operators add and remove members.
	Discovery *Discovery

	// Seed of the election time-outs. 0 means a random one.
	Seed               uint64
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
	HeartbeatInterval  time.Duration
	SnapshotEntries    uint64
	SnapshotBytes      int
	KeepEntries        uint64
	ConfirmInterval    time.Duration
	StopTimeout        time.Duration
	SegmentBytes       int64
	// Transport replaces the one over HTTP.
	Transport Transport
}

// Discovery describes a group that finds its members itself.
type Discovery struct {
	// Bootstrap is true only where the whole group starts for the first time.
	// Then the members in Initial form it. Any other member without a log asks
	// the group to be added.
	Bootstrap bool
	// Seeds are addresses of members to ask.
	Seeds []string
	// TargetVoters is the number of voters wanted. Further members follow the log and
	// take the place of a voter that is silent.
	TargetVoters int
}

func (c Config) withDefaults() Config {
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, DefaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, DefaultSnapshotBytes)
	c.KeepEntries = cmp.Or(c.KeepEntries, DefaultKeepEntries)
	c.ConfirmInterval = cmp.Or(c.ConfirmInterval, DefaultConfirmInterval)
	c.StopTimeout = cmp.Or(c.StopTimeout, DefaultStopTimeout)
	return c
}

func (c Config) check() error {
	switch {
	case c.GroupID == "":
		return errors.New("group id is empty")
	case c.MemberID == 0 && c.Discovery == nil:
		return errors.New("member id is 0")
	case c.Discovery != nil && c.Discovery.TargetVoters < 1:
		return errors.New("a group that finds its members needs at least one voter")
	case c.Address == "":
		return errors.New("address of the member is empty")
	case c.Files == nil:
		return errors.New("data folder is not set")
	case c.Clock == nil:
		return errors.New("clock is not set")
	}
	for _, m := range c.Initial {
		if m.Id == c.MemberID && m.Address != c.Address {
			return errors.Errorf("initial members list member %d at %s, but its address is %s", m.Id, m.Address, c.Address)
		}
	}
	return nil
}

func (c Config) isInitial() bool {
	for _, m := range c.Initial {
		if m.Id == c.MemberID {
			return true
		}
	}
	return false
}
