package raft

// read is a ReadIndex that waits for its quorum round.
type read struct {
	id uint64
	// round is 0 until the round has started.
	round uint64
}

func (m *Member) readIndex(e ReadIndex) {
	if m.role != RoleLeader {
		m.reject(e.ID, ReasonNotLeader)
		return
	}
	m.leading.reads = append(m.leading.reads, read{id: e.ID})
}

// startRound starts one quorum round for all reads that arrived in this Step.
// Responses to earlier rounds do not count for them.
func (m *Member) startRound() {
	if count := len(m.leading.reads); count == 0 || m.leading.reads[count-1].round != 0 {
		return
	}
	m.leading.round++
	for i := range m.leading.reads {
		if m.leading.reads[i].round == 0 {
			m.leading.reads[i].round = m.leading.round
		}
	}
	m.broadcastHeartbeat()
	m.releaseReads()
}

// releaseReads answers the reads whose round a majority has answered, once an
// entry of this term is committed.
func (m *Member) releaseReads() {
	if m.role != RoleLeader || !m.committedInTerm() {
		return
	}
	released := 0
	for _, r := range m.leading.reads {
		if r.round == 0 || !m.quorum(func(id uint64) bool { return id == m.config.ID || m.leading.followers[id].round >= r.round }) {
			break
		}
		m.answers = append(m.answers, ReadReady{ID: r.id, Index: m.commit})
		released++
	}
	m.leading.reads = m.leading.reads[released:]
}

// rejectReads answers the waiting reads of a leader that steps down.
func (m *Member) rejectReads() {
	for _, r := range m.leading.reads {
		m.answers = append(m.answers, Rejected{ID: r.id, Reason: ReasonNotLeader})
	}
	m.leading.reads = nil
}
