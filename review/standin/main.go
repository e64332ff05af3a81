// Command review-standin plays the cases of review/ that are scripts. It starts
// the project's programs as separate processes with the commands and the
// templates of deploy/, and plays the platform, the upstreams, the clients and
// the operator beside them, as the users' pages describe them. It uses the
// standard library only.
//
//	review-standin CASE FOLDER
//
// It is run in the root of the repository and writes FOLDER/record.txt. With
// TROUBLE=0 in the environment it plays the case without the disruption. It
// exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun is the longest time that a case may take.
const maxRun = 110 * time.Second

var cases = map[string]func(*bench) (broken bool, err error){}

// bench is one play of a case.
type bench struct {
	trouble bool
	started time.Time
	d       *deployment

	mu     sync.Mutex
	record *os.File
}

// note writes a line with the time since the start to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitFailed
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	b.note("case %s, disruption: %v", os.Args[1], b.trouble)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](b)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	r := result{err: fmt.Errorf("the case did not end within %v", maxRun)}
	select {
	case r = <-results:
	case s := <-signals:
		r.err = fmt.Errorf("stopped by a signal: %v", s)
	case <-time.After(maxRun):
	}
	if b.d != nil {
		b.d.stop()
	}
	switch {
	case r.err != nil:
		b.note("could not be played: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return exitFailed
	case r.broken:
		b.note("result: the rule was broken")
		return exitBroken
	}
	b.note("result: the rule held")
	return exitHeld
}
