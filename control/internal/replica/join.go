package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// joinRetry is the pause between two rounds of questions.
	joinRetry = 250 * time.Millisecond
	// candidateFor is how long a question to join counts: several rounds of a
	// member that still waits.
	candidateFor = 2 * time.Second
	// maxCandidates bounds the members that are remembered.
	maxCandidates = 64
)

// errOperated is the answer to members that ask a group without Discovery.
var errOperated = errors.New("operators add members to this group")

// candidates are the members that asked to join. It is safe for concurrent use.
type candidates struct {
	mu   sync.Mutex
	list map[uint64]candidate
}

type candidate struct {
	member *wirev1.Member
	asked  time.Time
}

func (c *candidates) add(now time.Time, m *wirev1.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil {
		c.list = map[uint64]candidate{}
	}
	if _, known := c.list[m.GetId()]; known || len(c.list) < maxCandidates {
		c.list[m.GetId()] = candidate{m, now}
	}
}

func (c *candidates) recent(now time.Time) []*wirev1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var recent []*wirev1.Member
	for id, k := range c.list {
		if now.Sub(k.asked) > candidateFor {
			delete(c.list, id)
			continue
		}
		recent = append(recent, k.member)
	}
	slices.SortFunc(recent, func(a, b *wirev1.Member) int {
		if a.GetId() < b.GetId() {
			return -1
		}
		return 1
	})
	return recent
}

// Candidates implements Log.
func (r *Replica) Candidates() []*wirev1.Member {
	return r.candidates.recent(r.config.Clock.Now())
}

// Addresses implements Log.
func (r *Replica) Addresses() []string {
	var addresses []string
	for _, m := range r.membership.Load().GetMembers() {
		addresses = append(addresses, m.GetAddress())
	}
	return addresses
}

// HandleJoin notes a member that asks to be added, where this one leads. It is
// called by the transport.
func (r *Replica) HandleJoin(request *wirev1.JoinRequest) (*wirev1.JoinResponse, error) {
	if r.config.Discovery == nil {
		return nil, errOperated
	}
	m := request.GetMember()
	if m.GetId() == 0 || m.GetAddress() == "" {
		return nil, errors.New("a member needs an id and an address to join")
	}
	leadership := r.Leadership()
	response := &wirev1.JoinResponse{Leader: leadership.Address, LeaderOperator: leadership.OperatorAddress, Members: r.Addresses()}
	if leadership.Leading {
		response.LeaderOperator = r.config.OperatorAddress
	}
	known := findMember(r.membership.Load(), m.GetId())
	response.Joined = known.GetAddress() == m.GetAddress()
	if leadership.Leading && !response.Joined {
		r.candidates.add(r.config.Clock.Now(), m)
	}
	return response, nil
}

// join asks the group to add this member until its own log says that it has. A
// group that is full never does: the member then knows who leads by asking.
func (r *Replica) join(ctx context.Context) {
	self := &wirev1.Member{Id: r.config.MemberID, Address: r.config.Address, AvailabilityZone: r.config.AvailabilityZone}
	known := slices.Clone(r.config.Discovery.Seeds)
	for ctx.Err() == nil && findMember(r.membership.Load(), self.GetId()) == nil {
		var named *wirev1.JoinResponse
		for _, address := range known {
			if address == self.GetAddress() {
				continue
			}
			response, err := r.transport.Join(ctx, address, &wirev1.JoinRequest{Member: self})
			if err != nil {
				r.logger.Debug().Err(err).Msg("no answer to the question to join")
				continue
			}
			for _, more := range append(response.GetMembers(), response.GetLeader()) {
				if more != "" && !slices.Contains(known, more) && len(known) < maxCandidates {
					known = append(known, more)
				}
			}
			if response.GetLeader() != "" {
				named = response
			}
			if response.GetLeader() == address {
				break
			}
		}
		r.hearsay(named)
		select {
		case <-ctx.Done():
		case <-time.After(joinRetry):
		}
	}
}

// hearsay notes the leader that others named, nil for none, so that operators and
// nodes who ask this member are sent there. What the own log says goes first.
func (r *Replica) hearsay(named *wirev1.JoinResponse) {
	before := r.leadership.Load()
	if before.LeaderID != 0 || before.Leading {
		return
	}
	r.leadership.CompareAndSwap(before, &Leadership{Term: before.Term, Address: named.GetLeader(), OperatorAddress: named.GetLeaderOperator()})
}
