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
	// joinRetryInterval is the pause between two rounds of join requests.
	joinRetryInterval = 250 * time.Millisecond
	// candidateLifetime is the time for which the leader keeps a candidate after
	// its latest join request. It is several times joinRetryInterval, so that a
	// member that still sends join requests remains a candidate.
	candidateLifetime = 2 * time.Second
	// maxCandidates limits the candidates that the leader keeps and the addresses
	// to which a joining member sends requests.
	maxCandidates = 64
)

// errManualMembership is returned for join requests to a group without
// Discovery.
var errManualMembership = errors.New("join: only operators add members to this group")

// candidates has the members that requested to join, by id. It is safe for
// concurrent use.
type candidates struct {
	mu   sync.Mutex
	list map[uint64]candidate
}

type candidate struct {
	member      *wirev1.Member
	requestedAt time.Time
}

// add stores a candidate or renews its time.
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

// recent removes expired candidates and returns the others by ascending id.
func (c *candidates) recent(now time.Time) []*wirev1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var recent []*wirev1.Member
	for id, k := range c.list {
		if now.Sub(k.requestedAt) > candidateLifetime {
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

// HandleJoin stores a member that requests to be added as a candidate if this
// member leads. The response names the leader and the members. The transport
// calls it.
func (r *Replica) HandleJoin(request *wirev1.JoinRequest) (*wirev1.JoinResponse, error) {
	if r.config.Discovery == nil {
		return nil, errManualMembership
	}
	m := request.GetMember()
	if m.GetId() == 0 || m.GetAddress() == "" {
		return nil, errors.New("join: the request has no member id or no address")
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

// join requests to be added to the group until the own log has this member. A
// full group never adds it; the member then learns from the responses who
// leads.
func (r *Replica) join(ctx context.Context) {
	self := &wirev1.Member{Id: r.config.MemberID, Address: r.config.Address, AvailabilityZone: r.config.AvailabilityZone}
	addresses := slices.Clone(r.config.Discovery.Seeds)
	for ctx.Err() == nil && findMember(r.membership.Load(), self.GetId()) == nil {
		var reported *wirev1.JoinResponse
		for _, address := range addresses {
			if address == self.GetAddress() {
				continue
			}
			response, err := r.transport.Join(ctx, address, &wirev1.JoinRequest{Member: self})
			if err != nil {
				r.logger.Debug().Err(err).Msg("join request failed")
				continue
			}
			for _, discovered := range append(response.GetMembers(), response.GetLeader()) {
				if discovered != "" && !slices.Contains(addresses, discovered) && len(addresses) < maxCandidates {
					addresses = append(addresses, discovered)
				}
			}
			if response.GetLeader() != "" {
				reported = response
			}
			if response.GetLeader() == address {
				break
			}
		}
		r.setReportedLeader(reported)
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
}

// setReportedLeader stores the leader that other members reported, or none for
// nil. Operators and nodes that ask this member are then referred to it. A
// leader known from the own log takes precedence. A report that names the own
// address is about the process that had this address before its data folder was
// lost, so it counts as none.
func (r *Replica) setReportedLeader(reported *wirev1.JoinResponse) {
	if reported.GetLeader() == r.config.Address {
		reported = nil
	}
	before := r.leadership.Load()
	if before.LeaderID != 0 || before.Leading {
		return
	}
	r.leadership.CompareAndSwap(before, &Leadership{Term: before.Term, Address: reported.GetLeader(), OperatorAddress: reported.GetLeaderOperator()})
}
