package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shareTimeConstant is the time constant of the counts that a partition's share
	// of the load is estimated from. Shares of wide ranges last while their sum
	// rises and falls in waves of 10 to 20 s.
	shareTimeConstant = 30 * time.Second
	// shareShape is the shape of the gamma distribution that shares are assumed to
	// have before any request: most partitions are below the mean, few far above.
	shareShape = 0.5
	// blockLength is the number of adjacent partitions whose load is compared with
	// their shares together. A range of busy neighbours is found that way before
	// any one of its partitions has had enough requests.
	blockLength = 32
	// blockTimeConstant is the time constant of the counts of a block.
	blockTimeConstant = 4 * time.Second
	// blockPrior is the number of requests as expected that are added to those of
	// a block.
	blockPrior = 10
	// hotMinRequests and hotDeviations are what a partition's requests in one
	// report must exceed for it to be hot: its expected number and that many
	// standard deviations. Of 4,096 partitions with one request a second, fewer
	// than one a day exceeds it by chance.
	hotMinRequests = 8
	hotDeviations  = 6
	// hotFollow is the weight of the latest report in the rate of a hot partition
	// that falls. A rise is followed at once.
	hotFollow = 0.5
	// hotRiseRatio is the rise of a hot partition's rate that counts as news.
	hotRiseRatio = 1.5
	// peakWindow covers a whole wave of the load. The highest sum within it is
	// expected again.
	peakWindow = 20 * time.Second
	// sumTimeConstant is the time constant of the sum whose peak is kept.
	sumTimeConstant = 2 * time.Second
	// maxPeakRatio limits the expected rise, as after a pause in the traffic.
	maxPeakRatio = 3
)

// OwnerRates is the load that one owner reports for its partitions of an
// upstream, in requests/s.
type OwnerRates struct {
	Owner uint64
	// Elapsed is the time that the rates were measured over.
	Elapsed time.Duration
	// Total is the rate of all requests, Partitions that of the partitions with the
	// most requests.
	Total      float64
	Partitions map[uint32]float64
}

// RateEstimator estimates the rates of the partitions of one upstream from the
// reports of their owners. It tells three patterns apart. A partition that gets
// far more requests than its share is hot, and its rate is that of its latest
// reports. A block of adjacent partitions that gets more than its shares is
// busy, and raises all of its partitions. The rest is the sum of the load, which
// rises and falls, times shares that do not. It is not safe for concurrent use.
type RateEstimator struct {
	partitions []partitionRate
	// blockCounts and blockExpected are the decayed numbers of requests of each
	// block and of those that its shares give.
	blockCounts, blockExpected []float64
	// scale is the rate of a partition of weight 1, shareScale that of a partition
	// of share 1 if no block is busy, both in requests/s. present is scale by the
	// reports of the update under way, with what hot partitions get.
	scale, shareScale, present float64
	// sums has the rate of the partitions that are not hot as reported by each
	// owner.
	sums    map[uint64]float64
	sum     float64
	peaks   []ratePeak
	updated time.Time
}

// ratePeak is a sum of rates and its time.
type ratePeak struct {
	at  time.Time
	sum float64
}

// partitionRate is the state of one partition.
type partitionRate struct {
	// requests is the decayed number of requests while the partition was not hot,
	// seconds the decayed time that they were counted over.
	requests, seconds float64
	// owner is the owner at the latest report. A report of another one may cover a
	// part of its time only.
	owner uint64
	// share is the load in relation to the mean partition over shareTimeConstant,
	// weight the same with the present load of the block.
	share, weight float64
	// hotRate is the rate while hot, in requests/s.
	hotRate  float64
	hotSince time.Time
}

func (p *partitionRate) hot() bool { return !p.hotSince.IsZero() }

// NewRateEstimator returns an estimator for a number of partitions.
func NewRateEstimator(partitions uint32) *RateEstimator {
	blocks := (int(partitions) + blockLength - 1) / blockLength
	e := &RateEstimator{
		partitions: make([]partitionRate, partitions), sums: map[uint64]float64{},
		blockCounts: make([]float64, blocks), blockExpected: make([]float64, blocks),
	}
	for i := range e.partitions {
		e.partitions[i].share, e.partitions[i].weight = 1, 1
	}
	return e
}

// Partitions returns the number of partitions.
func (e *RateEstimator) Partitions() uint32 { return uint32(len(e.partitions)) }

// Update adds the reports since the last update, one of each owner. The owners of
// all partitions are given by number. Partitions of owners without a report keep
// their shares.
func (e *RateEstimator) Update(now time.Time, owners []uint64, reports []OwnerRates) {
	elapsed := 0.0
	if !e.updated.IsZero() {
		elapsed = max(0, now.Sub(e.updated).Seconds())
	}
	e.updated = now
	e.decayBlocks(elapsed)
	updates := newOwnerUpdates(owners, reports)
	e.present = e.presentScale(owners, updates)
	for i, owner := range owners {
		if u := updates[owner]; u.report != nil && i < len(e.partitions) {
			e.observe(now, i, owner, u)
		}
	}
	maps.DeleteFunc(e.sums, func(owner uint64, _ float64) bool { return updates[owner] == nil })
	for owner, u := range updates {
		if u.report != nil {
			e.sums[owner] = max(0, u.report.Total-u.hot)
		}
	}
	e.weigh()
	e.updatePeak(now, elapsed)
}

// presentScale returns the rate of a partition of weight 1 by the latest report of each
// owner.
func (e *RateEstimator) presentScale(owners []uint64, updates map[uint64]*ownerUpdate) float64 {
	sum, weights := 0.0, 0.0
	for _, owner := range slices.Sorted(maps.Keys(updates)) {
		if report := updates[owner].report; report != nil {
			sum += report.Total
		} else {
			sum += e.sums[owner]
		}
	}
	for i, owner := range owners {
		if _, known := e.sums[owner]; i < len(e.partitions) && (known || updates[owner].report != nil) {
			weights += e.partitions[i].weight
		}
	}
	return sum / max(1, weights)
}

// newOwnerUpdates joins the reports with the owners of partitions, by owner.
func newOwnerUpdates(owners []uint64, reports []OwnerRates) map[uint64]*ownerUpdate {
	updates := make(map[uint64]*ownerUpdate, len(reports))
	for i := range reports {
		updates[reports[i].Owner] = &ownerUpdate{report: &reports[i]}
	}
	for i, owner := range owners {
		u := updates[owner]
		if u == nil {
			u = &ownerUpdate{}
			updates[owner] = u
		}
		u.partitions++
		if u.report == nil {
			continue
		}
		if rate, listed := u.report.Partitions[uint32(i)]; listed {
			u.listed += rate
			u.listedCount++
		}
	}
	return updates
}

// ownerUpdate is a report with what the current assignment makes of it.
type ownerUpdate struct {
	report *OwnerRates
	// partitions is the number of the owner's partitions, listedCount that of those
	// with a rate of their own, and listed the sum of these.
	partitions, listedCount int
	listed                  float64
	// hot is the rate of those that are hot.
	hot float64
}

// rate returns the reported rate of a partition. What the listed ones leave is
// shared by the rest.
func (u *ownerUpdate) rate(number uint32) float64 {
	if rate, listed := u.report.Partitions[number]; listed {
		return rate
	}
	return max(0, u.report.Total-u.listed) / float64(max(1, u.partitions-u.listedCount))
}

// observe adds a report to one partition.
func (e *RateEstimator) observe(now time.Time, i int, owner uint64, u *ownerUpdate) {
	p, rate, seconds := &e.partitions[i], u.rate(uint32(i)), u.report.Elapsed.Seconds()
	switch requests := rate * seconds; {
	case p.owner != owner && p.owner != 0:
		// The new owner had the partition for a part of the time.
		p.owner = owner
		if p.hot() {
			u.hot += rate
		}
	case e.exceeds(p, requests, seconds):
		if !p.hot() {
			p.hotSince = now
		}
		p.owner, p.hotRate = owner, max(rate, p.hotRate+hotFollow*(rate-p.hotRate))
		u.hot += rate
	default:
		p.owner = owner
		p.hotSince, p.hotRate = time.Time{}, 0
		keep := math.Exp(-seconds / shareTimeConstant.Seconds())
		p.requests = p.requests*keep + requests
		p.seconds = p.seconds*keep + seconds
		e.blockCounts[i/blockLength] += requests
		e.blockExpected[i/blockLength] += p.share * e.shareScale * seconds
	}
}

// exceeds reports whether a number of requests is beyond what the load of a
// partition explains. The load of all may have risen since the update before, or be
// unknown before the first one.
func (e *RateEstimator) exceeds(p *partitionRate, requests, seconds float64) bool {
	expected := p.weight * max(e.scale, e.present) * seconds
	return requests > expected+max(hotMinRequests, hotDeviations*math.Sqrt(expected))
}

// BecomesHot reports whether the reported rate of a partition makes it hot, or
// much hotter than it is known to be.
func (e *RateEstimator) BecomesHot(number uint32, rate float64, elapsed time.Duration) bool {
	if int(number) >= len(e.partitions) {
		return false
	}
	p := &e.partitions[number]
	return rate > hotRiseRatio*p.hotRate && e.exceeds(p, rate*elapsed.Seconds(), elapsed.Seconds())
}

func (e *RateEstimator) decayBlocks(elapsed float64) {
	keep := math.Exp(-elapsed / blockTimeConstant.Seconds())
	for i := range e.blockCounts {
		e.blockCounts[i] *= keep
		e.blockExpected[i] *= keep
	}
}

// weigh derives shares, weights and scales from the counts.
func (e *RateEstimator) weigh() {
	requests, seconds := 0.0, 0.0
	for i := range e.partitions {
		requests += e.partitions[i].requests
		seconds += e.partitions[i].seconds
	}
	mean := requests / max(seconds, 1)
	shares, weights := 0.0, 0.0
	for i := range e.partitions {
		p, b := &e.partitions[i], i/blockLength
		p.share = (p.requests + shareShape) / (mean*p.seconds + shareShape)
		p.weight = p.share * (e.blockCounts[b] + blockPrior) / (e.blockExpected[b] + blockPrior)
		if !p.hot() {
			shares += p.share
			weights += p.weight
		}
	}
	e.sum = 0
	for _, owner := range slices.Sorted(maps.Keys(e.sums)) {
		e.sum += e.sums[owner]
	}
	e.scale, e.shareScale = e.sum/max(1, weights), e.sum/max(1, shares)
}

// updatePeak keeps the highest sum of the peak window.
func (e *RateEstimator) updatePeak(now time.Time, elapsed float64) {
	smoothed := e.sum
	if n := len(e.peaks); n > 0 {
		last := e.peaks[n-1].sum
		smoothed = last + (1-math.Exp(-elapsed/sumTimeConstant.Seconds()))*(e.sum-last)
	}
	e.peaks = append(e.peaks, ratePeak{now, smoothed})
	first := 0
	for now.Sub(e.peaks[first].at) > peakWindow {
		first++
	}
	e.peaks = e.peaks[first:]
}

// Rate returns the rate of a partition in requests/s, and since when it is hot,
// zero if it is not.
func (e *RateEstimator) Rate(number uint32) (rate float64, hotSince time.Time) {
	if int(number) >= len(e.partitions) {
		return 0, time.Time{}
	}
	p := &e.partitions[number]
	if p.hot() {
		return p.hotRate, p.hotSince
	}
	return p.weight * e.scale, time.Time{}
}

// HotPartitions returns the number of partitions that are hot.
func (e *RateEstimator) HotPartitions() int {
	n := 0
	for i := range e.partitions {
		if e.partitions[i].hot() {
			n++
		}
	}
	return n
}

// PeakRatio returns the highest sum of the load within the peak window in
// relation to the sum now, 1 to 3. Hot partitions are in neither.
func (e *RateEstimator) PeakRatio() float64 {
	if len(e.peaks) == 0 {
		return 1
	}
	highest, last := 0.0, e.peaks[len(e.peaks)-1].sum
	for _, p := range e.peaks {
		highest = max(highest, p.sum)
	}
	if last <= 0 {
		return 1
	}
	return min(max(1, highest/last), maxPeakRatio)
}

// Add joins the report with an earlier one of the same owner.
func (r *OwnerRates) Add(earlier *OwnerRates) {
	elapsed := r.Elapsed + earlier.Elapsed
	if elapsed <= 0 {
		return
	}
	own, other := r.Elapsed.Seconds()/elapsed.Seconds(), earlier.Elapsed.Seconds()/elapsed.Seconds()
	rates := make(map[uint32]float64, len(r.Partitions)+len(earlier.Partitions))
	for number, rate := range r.Partitions {
		rates[number] = own * rate
	}
	for number, rate := range earlier.Partitions {
		rates[number] += other * rate
	}
	*r = OwnerRates{Owner: r.Owner, Elapsed: elapsed, Total: own*r.Total + other*earlier.Total, Partitions: rates}
}
