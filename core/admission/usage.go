package admission

import "time"

// usageWindow is the time over which the use of slots is taken. It spans several slow
// moments of a server on a shared VM.
const usageWindow = 3 * time.Second

// slotUsage measures the slots that each class of requests uses.
type slotUsage struct {
	// first is the time of the first start, begin that of the current window, and
	// counted the time until which slot time is counted.
	first, begin, counted time.Time
	running               [classes]int
	// current is the slot time of each class in the current window, and previous that
	// in the window before.
	current, previous [classes]time.Duration
}

// start counts a request that starts.
func (u *slotUsage) start(now time.Time, class int) {
	if u.first.IsZero() {
		u.first, u.begin, u.counted = now, now, now
	}
	u.count(now)
	u.running[class]++
}

// end counts a request that ends.
func (u *slotUsage) end(now time.Time, class int) {
	u.count(now)
	u.running[class]--
}

// count counts the slot time until now.
func (u *slotUsage) count(now time.Time) {
	for turn := u.begin.Add(usageWindow); !now.Before(turn); turn = u.begin.Add(usageWindow) {
		if now.Sub(turn) >= usageWindow {
			// The window before the current one is the only other one that counts.
			turn = now.Add(-usageWindow)
			u.counted = turn.Add(-usageWindow)
			u.current = [classes]time.Duration{}
		}
		u.addUntil(turn)
		u.previous, u.current, u.begin = u.current, [classes]time.Duration{}, turn
	}
	u.addUntil(now)
}

func (u *slotUsage) addUntil(t time.Time) {
	passed := t.Sub(u.counted)
	if passed <= 0 {
		return
	}
	for class, n := range u.running {
		if n > 0 {
			u.current[class] += time.Duration(n) * passed
		}
	}
	u.counted = t
}

// known reports whether a whole window has been measured.
func (u *slotUsage) known(now time.Time) bool {
	return !u.first.IsZero() && now.Sub(u.first) >= usageWindow
}

// above returns the mean number of slots that the classes above a class used during
// the latest window. Of the window before, it counts the part that the current one has
// not replaced.
func (u *slotUsage) above(now time.Time, class int) float64 {
	if u.first.IsZero() {
		return 0
	}
	u.count(now)
	var current, previous time.Duration
	for c := class + 1; c < classes; c++ {
		current += u.current[c]
		previous += u.previous[c]
	}
	left := 1 - now.Sub(u.begin).Seconds()/usageWindow.Seconds()
	return (current.Seconds() + left*previous.Seconds()) / usageWindow.Seconds()
}
