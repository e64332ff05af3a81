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

// Defaults of Config.
const (
	// DefaultSnapshotEntries is the number of entries between two snapshots. It
	// limits the entries that are read at a restart.
	DefaultSnapshotEntries = 10_000
	// DefaultSnapshotBytes is the size of the log between two snapshots, in
	// bytes. It limits the log in memory and on disk together with
	// DefaultKeepBytes.
	DefaultSnapshotBytes = 16 << 20
	// DefaultKeepEntries is the number of entries kept before a snapshot, so that
	// a member that was absent for a short time can catch up without a snapshot.
	DefaultKeepEntries = 1_000
	// DefaultKeepBytes limits the size of the entries kept before a snapshot, in
	// bytes. A member that lacks more gets the snapshot.
	DefaultKeepBytes = 8 << 20
	// DefaultConfirmInterval is the minimum time between two quorum rounds for
	// Log.Confirm.
	DefaultConfirmInterval = 10 * time.Millisecond
	// DefaultStopTimeout limits the transfer of leadership when Run ends.
	DefaultStopTimeout = time.Second
	// DefaultFormDelay is several times the time within which all members start.
	// The group normally begins with all initial members.
	DefaultFormDelay = time.Second
	// maxCommandBytes limits one command. It is well below the limits of a record
	// on disk and of a request between members.
	maxCommandBytes = 16 << 20
)

// Config configures a Replica. GroupID, MemberID, Address, Secret, Files and
// Clock are required; MemberID may be 0 with Discovery. For the other fields,
// zero values mean the defaults.
type Config struct {
	GroupID string
	// MemberID is the member's id in the group. With Discovery, 0 means the member
	// id in the data folder. If the folder is empty, 0 means the id under which
	// Initial lists Address if Discovery.Bootstrap is set, and otherwise the
	// random id of the folder.
	MemberID uint64
	// Address is the host and port at which other members reach this one.
	Address string
	// OperatorAddress is the address at which operators reach this member, empty
	// if there is none.
	OperatorAddress string
	// Secret is shared by all members.
	Secret string
	// Files is the data folder.
	Files disk.FS
	Clock clock.Clock
	// Initial lists the members that form the group, with ids and addresses. A
	// member that is not listed waits until it is added.
	Initial []*wirev1.Member
	Logger  zerolog.Logger
	// AvailabilityZone is the zone of this member. Voters are spread over zones.
	AvailabilityZone string
	// Discovery is set for groups that discover their members. Nil means that
	// operators add and remove members.
	Discovery *Discovery

	// Seed is the random seed of the election time-outs. 0 means a random one.
	Seed uint64
	// MinElectionTimeout, MaxElectionTimeout and HeartbeatInterval are those of
	// raft.Config.
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
	HeartbeatInterval  time.Duration
	SnapshotEntries    uint64
	SnapshotBytes      int
	KeepEntries        uint64
	KeepBytes          int
	ConfirmInterval    time.Duration
	StopTimeout        time.Duration
	SegmentBytes       int64
	// Transport replaces the default transport over HTTP.
	Transport Transport
}

// Discovery configures a group that discovers its members and changes its own
// membership.
type Discovery struct {
	// Bootstrap must be true only when the whole group starts for the first time.
	// The members in Config.Initial then form the group. Any other member without
	// a log requests to be added.
	Bootstrap bool
	// FormDelay is the time for which an initial member waits for the others once
	// a majority has answered. It then forms the group without them. Default
	// DefaultFormDelay.
	FormDelay time.Duration
	// Seeds returns the addresses in the settings at which the group is looked
	// for. The processes there need not be members. It must be safe for
	// concurrent use.
	Seeds func() []string
	// TargetVoters is the intended number of voters of the group, at least 1.
	// Further members are learners that replace unresponsive voters.
	TargetVoters int
}

func (c Config) withDefaults() Config {
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, DefaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, DefaultSnapshotBytes)
	c.KeepEntries = cmp.Or(c.KeepEntries, DefaultKeepEntries)
	c.KeepBytes = cmp.Or(c.KeepBytes, DefaultKeepBytes)
	c.ConfirmInterval = cmp.Or(c.ConfirmInterval, DefaultConfirmInterval)
	c.StopTimeout = cmp.Or(c.StopTimeout, DefaultStopTimeout)
	if c.Discovery != nil {
		discovery := *c.Discovery
		discovery.FormDelay = cmp.Or(discovery.FormDelay, DefaultFormDelay)
		c.Discovery = &discovery
	}
	return c
}

func (c Config) check() error {
	switch {
	case c.GroupID == "":
		return errors.New("group id is empty")
	case c.MemberID == 0 && c.Discovery == nil:
		return errors.New("member id is 0")
	case c.Discovery != nil && c.Discovery.Seeds == nil:
		return errors.New("seeds of a group that discovers its members are not set")
	case c.Discovery != nil && c.Discovery.TargetVoters < 1:
		return errors.New("a group that discovers its members needs at least one voter")
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

// isInitial reports whether this member is one of the initial members.
func (c Config) isInitial() bool {
	for _, m := range c.Initial {
		if m.Id == c.MemberID {
			return true
		}
	}
	return false
}
