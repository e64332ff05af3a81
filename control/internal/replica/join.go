package replica

import (
	"context"
	"fmt"
	"net/netip"
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
	// to which a joining member sends requests in one round.
	maxCandidates = 64
	// announceInterval is the pause between two rounds of announcements. With the
	// election it is well below the time that nodes and operators wait for the
	// group after a restart of all processes.
	announceInterval = time.Second
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
	response := &wirev1.JoinResponse{Members: r.Addresses()}
	if !leadership.Leading {
		response.Members = r.contacts.appendTo(response.Members, r.config.Clock.Now())
	}
	if leadership.LeaderID != 0 {
		// A leader that others reported is not passed on. Processes outside the
		// group could otherwise report a former leader to each other for ever.
		response.Leader, response.LeaderOperator, response.Term = leadership.Address, leadership.OperatorAddress, leadership.Term
	}
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

// HandleAnnounce stores the address of a member that announces itself. The
// transport calls it.
func (r *Replica) HandleAnnounce(request *wirev1.AnnounceRequest) (*wirev1.AnnounceResponse, error) {
	if r.config.Discovery == nil {
		return nil, errManualMembership
	}
	if _, err := netip.ParseAddrPort(request.GetAddress()); err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	r.contacts.addAnnounced(request.GetAddress(), r.config.Clock.Now())
	return &wirev1.AnnounceResponse{}, nil
}

// discover keeps this process in contact with the group until the context
// ends. A process outside the group requests to be added. A member announces
// itself to the seeds, which may be outside the group: other processes and
// nodes know only the seeds when they start.
func (r *Replica) discover(ctx context.Context) {
	for ctx.Err() == nil {
		interval := joinRetryInterval
		if findMember(r.membership.Load(), r.config.MemberID) == nil {
			r.requestJoin(ctx)
		} else {
			interval = announceInterval
			r.announce(ctx)
		}
		r.storeContacts()
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// announce tells the seeds that this process is a member. Without a leader it
// tells nothing, because the group may have removed this member. Only the
// leader tells seeds that are members, because one of them may have lost its
// data folder and with it the group.
func (r *Replica) announce(ctx context.Context) {
	leadership, members := r.Leadership(), r.Addresses()
	if leadership.LeaderID == 0 {
		return
	}
	r.contacts.set(leadership.Address, members)
	for _, seed := range r.config.Discovery.Seeds() {
		if seed == r.config.Address || !leadership.Leading && slices.Contains(members, seed) {
			continue
		}
		if err := r.transport.Announce(ctx, seed, &wirev1.AnnounceRequest{Address: r.config.Address}); err != nil {
			r.logger.Debug().Err(err).Msg("announce request failed")
		}
	}
}

// requestJoin requests once to be added to the group. It asks the contacts and
// the seeds, and then the addresses in their responses, until the leader
// responds. A full group does not add this process, which then learns who
// leads.
func (r *Replica) requestJoin(ctx context.Context) {
	self := &wirev1.Member{Id: r.config.MemberID, Address: r.config.Address, AvailabilityZone: r.config.AvailabilityZone}
	queue := append(r.contacts.appendTo(nil, r.config.Clock.Now()), r.config.Discovery.Seeds()...)
	asked := map[string]bool{"": true, self.GetAddress(): true}
	var reported *wirev1.JoinResponse
	for len(queue) > 0 && len(asked) <= maxCandidates {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		response, err := r.transport.Join(ctx, address, &wirev1.JoinRequest{Member: self})
		if err != nil {
			r.logger.Debug().Err(err).Msg("join request failed")
			continue
		}
		leader := response.GetLeader()
		if leader == address {
			reported = response
			r.contacts.set(leader, response.GetMembers())
			break
		}
		queue = append(queue, response.GetMembers()...)
		if leader == "" {
			continue
		}
		queue = append([]string{leader}, queue...)
		if reported == nil || response.GetTerm() > reported.GetTerm() {
			reported = response
		}
	}
	r.setReportedLeader(reported)
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
	now := &Leadership{Term: before.Term, Address: reported.GetLeader(), OperatorAddress: reported.GetLeaderOperator()}
	if r.leadership.CompareAndSwap(before, now) && now.Address != before.Address {
		r.logger.Info().Str("leader", now.Address).Uint64("term", reported.GetTerm()).Msg("leader reported by the group")
	}
}
