package raft

// pendingRead is a ReadIndex request that waits for a majority to respond to
// its heartbeat round.
type pendingRead struct {
	id uint64
	// round is the number of the heartbeat round, 0 until it has started.
	round uint64
}

func (m *Member) readIndex(e ReadIndex) {
	if m.role != RoleLeader {
		m.reject(e.ID, ReasonNotLeader)
		return
	}
	m.leaderState.pendingReads = append(m.leaderState.pendingReads, pendingRead{id: e.ID})
}

// startReadRound starts one heartbeat round for all reads that arrived in this
// Step. Responses to earlier rounds do not count for them.
func (m *Member) startReadRound() {
	if count := len(m.leaderState.pendingReads); count == 0 || m.leaderState.pendingReads[count-1].round != 0 {
		return
	}
	m.leaderState.readRound++
	for i := range m.leaderState.pendingReads {
		if m.leaderState.pendingReads[i].round == 0 {
			m.leaderState.pendingReads[i].round = m.leaderState.readRound
		}
	}
	m.broadcastHeartbeat()
	m.answerReads()
}

// answerReads answers the reads to whose round a majority has responded. It
// answers none until an entry of this term is committed.
func (m *Member) answerReads() {
	if m.role != RoleLeader || !m.committedInTerm() {
		return
	}
	answered := 0
	for _, r := range m.leaderState.pendingReads {
		if r.round == 0 || !m.hasQuorum(func(id uint64) bool {
			return id == m.config.ID || m.leaderState.followers[id].ackedReadRound >= r.round
		}) {
			break
		}
		m.responses = append(m.responses, ReadReady{ID: r.id, Index: m.commitIndex})
		answered++
	}
	m.leaderState.pendingReads = m.leaderState.pendingReads[answered:]
}

// rejectReads rejects the pending reads of a leader that steps down. The next leader
// is 0 if it is not known.
func (m *Member) rejectReads(next uint64) {
	for _, r := range m.leaderState.pendingReads {
		m.responses = append(m.responses, Rejected{ID: r.id, Reason: ReasonNotLeader, Leader: next})
	}
	m.leaderState.pendingReads = nil
}
