package placement

// rows counts the ranges of neighbouring partitions of each server, as they are
// once the moves in flight and planned so far are done. A nil *rows counts
// nothing and bounds nothing.
type rows struct {
	// owners has the position of each partition's server, -1 for none.
	owners []int
	// counts has the number of ranges of each server.
	counts []int
}

func newRows(partitions, servers int) *rows {
	r := &rows{owners: make([]int, partitions), counts: make([]int, servers)}
	for i := range r.owners {
		r.owners[i] = -1
	}
	return r
}

// owner returns the position of the server of a partition, -1 for none.
func (r *rows) owner(number int) int {
	if r == nil || number < 0 || number >= len(r.owners) {
		return -1
	}
	return r.owners[number]
}

// neighbours returns the positions of the servers of the partitions before and
// after one.
func (r *rows) neighbours(number uint32) [2]int {
	return [2]int{r.owner(int(number) - 1), r.owner(int(number) + 1)}
}

// added returns by how much the ranges of a server grow if it gets a partition
// of another one.
func (r *rows) added(number uint32, at int) int {
	n := 1
	for _, neighbour := range r.neighbours(number) {
		if neighbour == at {
			n--
		}
	}
	return n
}

// give notes that a server gets a partition, -1 for none.
func (r *rows) give(number uint32, at int) {
	if r == nil || int(number) >= len(r.owners) || r.owners[number] == at {
		return
	}
	if from := r.owners[number]; from >= 0 {
		r.counts[from] -= r.added(number, from)
	}
	r.owners[number] = at
	if at >= 0 {
		r.counts[at] += r.added(number, at)
	}
}

// fits reports whether a server stays within a number of ranges with a partition
// that it gets, and its owner with what is left of the range that it is taken from.
func (r *rows) fits(number uint32, to, limit int) bool {
	if r == nil {
		return true
	}
	if n := r.added(number, to); n > 0 && r.counts[to]+n > limit {
		return false
	}
	from := r.owner(int(number))
	if from < 0 {
		return true
	}
	n := -r.added(number, from)
	return n <= 0 || r.counts[from]+n <= limit
}
