package placement

// rangeCounts counts the ranges of adjacent partitions of each server, as they
// are after the moves in flight and the moves planned so far. A nil
// *rangeCounts counts nothing and sets no limit.
type rangeCounts struct {
	// owners has the pool index of the server of each partition, -1 for none.
	owners []int
	// counts has the number of ranges of each server.
	counts []int
}

func newRangeCounts(partitions, servers int) *rangeCounts {
	r := &rangeCounts{owners: make([]int, partitions), counts: make([]int, servers)}
	for i := range r.owners {
		r.owners[i] = -1
	}
	return r
}

// owner returns the pool index of the server of a partition, -1 for none.
func (r *rangeCounts) owner(number int) int {
	if r == nil || number < 0 || number >= len(r.owners) {
		return -1
	}
	return r.owners[number]
}

// neighbours returns the servers of the partitions before and after one.
func (r *rangeCounts) neighbours(number uint32) [2]int {
	return [2]int{r.owner(int(number) - 1), r.owner(int(number) + 1)}
}

// sides returns the servers of the partitions before and after the range of one:
// after it, partitions of servers for which leaves returns true are skipped.
func (r *rangeCounts) sides(number uint32, leaves func(server int) bool) [2]int {
	after := int(number) + 1
	for after < len(r.owners) && (r.owners[after] < 0 || leaves(r.owners[after])) {
		after++
	}
	return [2]int{r.owner(int(number) - 1), r.owner(after)}
}

// growth returns by how much the number of ranges of a server grows when it
// gets a partition. That is 1 if it has neither adjacent partition, 0 if it has
// one and -1 if it has both.
func (r *rangeCounts) growth(number uint32, server int) int {
	n := 1
	for _, neighbour := range r.neighbours(number) {
		if neighbour == server {
			n--
		}
	}
	return n
}

// assign records the server of a partition, -1 for none.
func (r *rangeCounts) assign(number uint32, server int) {
	if r == nil || int(number) >= len(r.owners) || r.owners[number] == server {
		return
	}
	if from := r.owners[number]; from >= 0 {
		r.counts[from] -= r.growth(number, from)
	}
	r.owners[number] = server
	if server >= 0 {
		r.counts[server] += r.growth(number, server)
	}
}

// fits reports whether the new server and the current owner of a partition both
// stay within a limit of ranges if the partition is moved. The owner gets one
// range more if the partition is in the middle of one.
func (r *rangeCounts) fits(number uint32, to, limit int) bool {
	if r == nil {
		return true
	}
	if n := r.growth(number, to); n > 0 && r.counts[to]+n > limit {
		return false
	}
	from := r.owner(int(number))
	if from < 0 {
		return true
	}
	n := -r.growth(number, from)
	return n <= 0 || r.counts[from]+n <= limit
}
