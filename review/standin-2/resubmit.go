package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["resubmit"] = resubmit }

const (
	// submissions is the number of forms, of which leavers in ten are left early.
	submissions = 30
	leavers     = 3
	// leaveAfter is half of the route's objective.
	leaveAfter = 125 * time.Millisecond
	// submissionWork is below the largest work of a submission in the site file.
	submissionWork = 500 * time.Millisecond
)

// resubmit: clients submit a form. All requests of one form have the form's Idempotency-Key, a
// header field that the pages do not name. With the disruption, three in ten of the clients leave
// before their deadline, and send a new request with the same form.
func resubmit(l *lab) (int, error) {
	if err := l.begin(submissionWork); err != nil {
		return failed, err
	}
	code, left := held, 0
	for i := range submissions {
		form := newID()
		request := func() *attempt {
			return &attempt{
				id: newID(), method: "POST", path: "/pufi791/2f", host: host, key: fmt.Sprint(2000 * i), deadline: 1500 * time.Millisecond,
				header: map[string]string{"Idempotency-Key": form}, body: []byte("centre=" + form + "\n"),
			}
		}
		m := l.nodes()[i%3]
		if l.trouble && i%10 < leavers {
			left++
			request().sendAndLeave(l.record, m, leaveAfter)
		}
		a := request()
		if out := a.send(l.record, m); l.mixed(a, out) {
			code = broken
		}
	}
	l.add("case", "%d clients of %d left after %v", left, submissions, leaveAfter)
	return code, nil
}

// mixed reports whether an answer breaks MIXED: a success that is not the whole answer of an
// upstream to this request, with its signature.
func (l *lab) mixed(a *attempt, out result) bool {
	if out.status/100 != 2 {
		return false
	}
	runs := l.runsOf(a.id)
	for _, r := range runs {
		if out.signature == r.signature && out.body == answerBody(a.id, r.instance) {
			return false
		}
	}
	answered := "no known request"
	if words := strings.Fields(out.body); len(words) > 1 {
		answered = words[1]
	}
	l.add("case", "MIXED: %s ran %d times, and its client got the answer to %s", a.id, len(runs), answered)
	return true
}
