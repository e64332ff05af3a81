package replica

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/member"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// maxQueuedRequests limits the requests queued for the loop. Further callers
	// block until there is room.
	maxQueuedRequests = 1024
	// maxQueuedMessageBatches limits the received batches of messages queued for
	// the loop. Further ones are dropped.
	maxQueuedMessageBatches = 256
	// maxBatchEvents limits the events that share one sync of the log.
	maxBatchEvents = 1024
)

// Transport sends messages to other members. Implementations are safe for
// concurrent use.
type Transport interface {
	// Send queues a message. It must not block and may drop the message.
	Send(message *wirev1.RaftMessage)
	// SetMembers replaces the addresses of the members.
	SetMembers(members []*wirev1.Member)
	// OperatorAddress returns the address at which operators reach a member,
	// empty if unknown.
	OperatorAddress(id uint64) string
	// Form asks the member at an address whether the group exists.
	Form(ctx context.Context, address string, request *wirev1.FormRequest) (*wirev1.FormResponse, error)
	// Join asks the member at an address to add this one to the group.
	Join(ctx context.Context, address string, request *wirev1.JoinRequest) (*wirev1.JoinResponse, error)
	// Announce tells the process at an address that this one is a member.
	Announce(ctx context.Context, address string, request *wirev1.AnnounceRequest) error
	// Close sends queued messages and ends the transport.
	Close()
}

// Replica is this process's member of the group. It implements Log.
type Replica struct {
	config    Config
	logger    zerolog.Logger
	disk      *disk.Disk
	stored    raft.StoredState
	transport Transport
	handler   func() (string, http.Handler)
	requests  chan *request
	// confirms is the queue of Confirm requests. Renewals of leases depend on
	// them, so they must not wait behind proposals in the queue requests.
	confirms chan *request
	inbox    chan []*wirev1.RaftMessage
	stopped  chan struct{}

	identity   atomic.Pointer[disk.Identity]
	membership atomic.Pointer[wirev1.Membership]
	candidates candidates
	contacts   contacts
	state      atomic.Pointer[cluster.State]
	leadership atomic.Pointer[Leadership]

	subscribersMutex sync.Mutex
	subscribers      []chan struct{}
}

// HaltedError is returned by Run if this member must not take part in the group
// any more.
type HaltedError struct {
	Reason raft.HaltReason
}

// Error returns the reason and what an operator has to do.
func (e *HaltedError) Error() string {
	return e.Reason.String()
}

// New opens the data folder and the transport. The error wraps a
// *disk.DamageError if the folder is damaged. Run must be called, because it
// closes both.
func New(config Config) (*Replica, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	folder, err := newFolderID()
	if err != nil {
		return nil, err
	}
	if config.Seed == 0 {
		config.Seed = folder
	}
	r := &Replica{
		config: config, logger: config.Logger,
		requests: make(chan *request, maxQueuedRequests), confirms: make(chan *request, maxQueuedRequests), inbox: make(chan []*wirev1.RaftMessage, maxQueuedMessageBatches),
		stopped: make(chan struct{}),
	}
	r.state.Store(&cluster.State{})
	r.leadership.Store(&Leadership{})
	if err := r.openDisk(folder); err != nil {
		return nil, err
	}
	r.logger = config.Logger.With().Uint64("self", r.config.MemberID).Logger()
	if r.config.Discovery != nil {
		r.loadContacts()
	}
	if err := r.openTransport(); err != nil {
		_ = r.disk.Close()
		return nil, err
	}
	return r, nil
}

// openTransport sets the transport of the configuration or the default one.
func (r *Replica) openTransport() error {
	if r.config.Transport != nil {
		r.transport = r.config.Transport
		r.handler = func() (string, http.Handler) { return "/", http.NotFoundHandler() }
		return nil
	}
	transport, err := member.New(member.Config{
		GroupID: r.config.GroupID, Secret: r.config.Secret, Address: r.config.Address, OperatorAddress: r.config.OperatorAddress,
		Logger: r.logger, Receive: r.Receive, HandleForm: r.HandleForm, HandleJoin: r.HandleJoin, HandleAnnounce: r.HandleAnnounce,
	})
	if err != nil {
		return err
	}
	r.transport, r.handler = transport, transport.Handler
	return nil
}

// openDisk opens the data folder and sets the member id. An empty folder gets
// this member's identity.
func (r *Replica) openDisk(folder uint64) error {
	opened, contents, err := disk.Open(r.config.Files, disk.Options{SegmentBytes: r.config.SegmentBytes, KeepBytes: r.config.KeepBytes})
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	r.disk, r.stored = opened, contents.Stored
	r.config.MemberID = memberID(r.config, contents.Identity, folder)
	if err := checkIdentity(r.config, contents.Identity); err != nil {
		_ = opened.Close()
		return err
	}
	if contents.Identity == nil {
		identity := disk.Identity{GroupID: r.config.GroupID, MemberID: r.config.MemberID, FolderID: folder}
		if err := opened.SetIdentity(identity); err != nil {
			_ = opened.Close()
			return fmt.Errorf("write identity of the data folder: %w", err)
		}
	}
	if contents.TornBytes > 0 {
		r.logger.Warn().Str("file", contents.TornFile).Int64("bytes", contents.TornBytes).
			Msg("truncated the end of the log, which was not synced when the process ended")
	}
	r.identity.Store(opened.Identity())
	return nil
}

// Handler returns the path and the handler of MemberService. It must be served
// from before Run is called until Run has returned.
func (r *Replica) Handler() (string, http.Handler) {
	return r.handler()
}

// Receive queues messages of other members. It drops them if the queue of the
// loop is full; the raft state machines of their senders send them again.
func (r *Replica) Receive(messages []*wirev1.RaftMessage) {
	select {
	case r.inbox <- messages:
	default:
	}
}

// Run takes part in the group until the context ends. It then transfers
// leadership and closes the data folder. The error is nil after an orderly end.
// After a failed write or sync the process must end.
func (r *Replica) Run(ctx context.Context) (err error) {
	defer func() {
		close(r.stopped)
		r.leadership.Store(&Leadership{Term: r.Leadership().Term})
		r.notify()
		r.transport.Close()
		if closeErr := r.disk.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("close data folder: %w", closeErr)
		}
	}()
	if !r.disk.Identity().Formed {
		stored, err := r.createFirstLog(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		r.stored = stored
		r.identity.Store(r.disk.Identity())
	}
	voters := 0
	if r.config.Discovery != nil {
		voters = r.config.Discovery.TargetVoters
		discovering, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.discover(discovering)
		}()
		defer func() { stop(); <-done }()
	}
	m, err := raft.New(raft.Config{
		ID: r.config.MemberID, Folder: r.disk.Identity().FolderID, Seed: r.config.Seed,
		MinElectionTimeout: r.config.MinElectionTimeout, MaxElectionTimeout: r.config.MaxElectionTimeout, HeartbeatInterval: r.config.HeartbeatInterval,
		MaxVoters: voters,
	}, r.config.Clock.Now(), r.stored)
	if err != nil {
		return fmt.Errorf("load the log: %w", err)
	}
	r.stored = raft.StoredState{}
	l := newLoop(r, m)
	return l.run(ctx)
}

// decodeState decodes the state in a snapshot.
func decodeState(snapshot *wirev1.Snapshot) (*cluster.State, error) {
	message := &wirev1.ClusterState{}
	if err := proto.Unmarshal(snapshot.GetData(), message); err != nil {
		return nil, fmt.Errorf("decode snapshot at %d: %w", snapshot.GetIndex(), err)
	}
	state, err := cluster.FromSnapshot(message)
	if err != nil {
		return nil, fmt.Errorf("restore snapshot at %d: %w", snapshot.GetIndex(), err)
	}
	return state, nil
}

// resetTimer sets the loop's timer to a time of Config.Clock. It returns nil
// for the zero time, which means never.
func (l *loop) resetTimer(at time.Time) <-chan time.Time {
	if at.IsZero() {
		l.timer.Stop()
		return nil
	}
	l.timer.Reset(max(0, at.Sub(l.config.Clock.Now())))
	return l.timer.C
}
