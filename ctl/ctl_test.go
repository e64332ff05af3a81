package ctl_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/ctl"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// terminal is one operator with a folder and a fake control group. What the
// operator sees is collected for a golden file.
type terminal struct {
	*testing.T
	*fakeControl
	folder string
	seen   strings.Builder
}

// scenario runs a test with a fake clock and compares what the operator saw.
func scenario(t *testing.T, name string, steps func(t *terminal)) {
	t.Run(name, func(t *testing.T) {
		folder := t.TempDir()
		t.Setenv(ctl.SettingsVariable, "")
		synctest.Test(t, func(t *testing.T) {
			term := &terminal{T: t, fakeControl: newFakeControl(), folder: folder}
			term.nodes = []*wirev1.NodeStatus{
				node(11, "app-1", "applications", "amman-1"), node(12, "app-2", "applications", "amman-2"),
				node(13, "doc-1", "documents", "amman-1"), node(14, "doc-2", "documents", "amman-2"),
			}
			steps(term)
			term.close()
			testkit.Golden(t, "testdata/"+name+".golden", term.seen.String())
		})
	})
}

func node(incarnation uint64, server, upstream, zone string) *wirev1.NodeStatus {
	return &wirev1.NodeStatus{
		Node: &wirev1.Node{
			Incarnation: incarnation, Name: "node-" + server, AvailabilityZone: zone, Region: "jordan",
			PeerAddress:   fmt.Sprintf("10.0.1.%d:7001", incarnation),
			BackendServer: &wirev1.BackendServer{Name: server, Upstream: upstream, Slots: 6},
		},
		Index: 98, Partitions: 512, RequestsPerSecond: 85.25, InFlight: 3, LeaseLeftMs: 1200, RenewAgeMs: 300,
	}
}

const launch = `upstream applications keyed  # Rahma: launch
upstream documents unkeyed  # Rahma: launch
route /applications to applications key=segment:2  # Rahma: launch
route /documents to documents  # Rahma: launch
`

// file writes a file of the operator.
func (t *terminal) file(name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(t.folder, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// note adds a line of the test to what is compared.
func (t *terminal) note(format string, values ...any) {
	fmt.Fprintf(&t.seen, "-- "+format+"\n", values...)
}

// varying matches request ids, which are random where the operator gives none,
// and numbers of streams, which depend on the order of connections.
var varying = regexp.MustCompile(`[A-Z2-7]{26}|stream ID \d+`)

// runIn runs a command line until it ends or the context does.
func (t *terminal) runIn(ctx context.Context, line string) int {
	args := strings.Fields(strings.ReplaceAll(line, "@", t.folder+"/"))
	if !strings.Contains(line, "--control") && !strings.Contains(line, "--settings") {
		args = append(args, "--control=10.0.0.1:7102")
	}
	var stdout, stderr bytes.Buffer
	code := ctl.Program{Dial: t.dial}.Run(ctx, append(args, "--author=samir"), &stdout, &stderr)
	text := strings.ReplaceAll(stdout.String(), t.folder+"/", "")
	if stderr.Len() > 0 {
		text += "[stderr]\n" + strings.ReplaceAll(stderr.String(), t.folder+"/", "")
	}
	fmt.Fprintf(&t.seen, "$ jujubeknotctl %s\n%sexit %d\n", strings.ReplaceAll(line, "@", ""), varying.ReplaceAllString(text, "VARYING"), code)
	return code
}

func (t *terminal) run(line string) int { return t.runIn(context.Background(), line) }

// inForce lets nodes follow the rules, one more with each look at the status.
func inForce(f *fakeControl) {
	for _, n := range f.nodes {
		if n.GetLeaseLeftMs() > 0 && n.GetRulesRevision() < f.state.Revision() {
			n.RulesRevision = f.state.Revision()
			return
		}
	}
}

// TestOffline guards against checks that need a connection or pass a faulty
// file, and against exit codes that scripts cannot rely on.
func TestOffline(t *testing.T) {
	scenario(t, "offline", func(t *terminal) {
		t.file("good.rules", "# launch\n"+launch+"option moveTimeout=2000ms  # Samir: calm\n")
		t.file("bad.rules", "route /a to nowhere  # Rahma: fault\nzone amman-1 out\n")
		t.file("wrong.ini", "[control]\naddresses = control:7102\nsecret = x\n[oprator]\n")
		t.file("empty.secret", "\n")
		t.run("check @good.rules")
		t.run("check --canonical @good.rules")
		t.run("check @bad.rules")
		t.run("check @missing.rules")
		t.run("check @good.rules @bad.rules")
		t.run("frobnicate")
		t.run("--version")
		t.run("status --settings @wrong.ini")
		t.run("status --settings @missing.ini")
		t.run("status --control control:7102")
		t.run("status --secret-file @empty.secret")
		t.run("status --timeout -3s")
		t.run("members add 0 10.0.0.4:7101")
		t.run("inspect @missing")
		t.run("inspect @ --from 9 --to 8")
		t.run("inspect @.")
		// The library wraps help at the width of the terminal, so it is not
		// part of the golden file.
		var help bytes.Buffer
		if code := ctl.Run(context.Background(), []string{"apply", "--help"}, &help, &help); code != ctl.ExitDone ||
			!strings.Contains(help.String(), "--request-id=ID") {
			t.Errorf("help ends with %d: %s", code, help.String())
		}
		if len(t.asked) > 0 {
			t.Errorf("offline commands asked control: %v", t.asked)
		}
	})
}

// TestApply guards against changes that are accepted without the operator
// knowing it, or that the operator believes to be in force while they are not.
func TestApply(t *testing.T) {
	scenario(t, "apply", func(t *terminal) {
		t.file("a.rules", launch)
		t.run("diff @a.rules")
		t.onStatus = inForce
		t.run("apply @a.rules --request-id first --wait")
		t.run("apply @a.rules --request-id first")
		t.run("diff @a.rules")
		t.file("b.rules", strings.Replace(launch, "documents unkeyed", "documents unkeyed slots=4", 1)+"limit documents body=20MiB  # Rahma: photos\n")
		t.run("diff @b.rules")
		t.run("apply @b.rules --expect 0")
		t.note("one node keeps its lease without following, one loses its lease")
		t.onStatus = func(f *fakeControl) {
			f.nodes[0].RulesRevision = f.state.Revision()
			f.nodes[2].LeaseLeftMs = 0
			f.nodes[3].RulesRevision = f.state.Revision()
		}
		started := time.Now()
		t.run("apply @b.rules --wait --timeout 5s")
		t.note("waited %s", time.Since(started))
		t.note("the operator interrupts the wait after a second")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		t.runIn(ctx, "apply @b.rules --wait")
		t.file("c.rules", strings.Replace(launch, "keyed ", "keyed partitions=64 ", 1))
		t.run("apply @c.rules")
		t.run("diff @c.rules")
		t.file("d.rules", "zone amman-1 out\n")
		t.run("apply @d.rules")
		t.run("history")
		t.run("history --limit 1")
	})
}

// TestForce guards against a change by mistake that stops a whole upstream.
func TestForce(t *testing.T) {
	scenario(t, "force", func(t *terminal) {
		t.file("a.rules", launch)
		t.run("apply @a.rules")
		t.nodes[1].LeaseLeftMs = 0
		t.file("b.rules", launch+"zone amman-1 out  # Samir: switch\n")
		t.run("apply @b.rules")
		t.run("drain app-1")
		t.run("apply @b.rules --force")
		t.file("empty.rules", "# begun\n")
		t.run("apply @empty.rules")
		t.nodes[1].LeaseLeftMs = 900
		t.run("drain app-9")
		t.run("drain doc-2")
		t.onStatus = func(f *fakeControl) { f.nodes[1].Partitions /= 4; f.nodes[1].InFlight /= 2 }
		t.run("drain app-2 --force --wait")
		t.run("drain app-2 --undo")
	})
}

// TestLostAnswers guards against changes that run twice or are reported as
// failed though they took effect.
func TestLostAnswers(t *testing.T) {
	scenario(t, "lost", func(t *terminal) {
		t.file("a.rules", launch)
		t.loseAnswers = 2
		t.run("apply @a.rules --request-id one")
		t.note("arrived %d times, revision %d", t.applied, t.state.Revision())
		t.file("b.rules", launch+"option maxDepth=1  # Samir: no cycles\n")
		t.loseAnswers = 1000
		t.run("apply @b.rules --timeout 1s")
		t.run("apply @b.rules --timeout 1s --request-id two")
		t.loseAnswers = 0
		t.run("apply @b.rules --request-id two --expect 1")
		t.note("revision %d", t.state.Revision())
		t.loseAnswers = 1
		t.run("members add 4 10.0.0.4:7101")
		t.note("member changes arrived: %d", t.changed)
		t.run("members list")
		t.run("members remove 9")
		t.run("members add 5 10.0.0.4:7101")
		t.run("members add 4 10.0.0.5:7101")
		t.run("members remove 4")
		t.note("control refuses what the command cannot know")
		t.refuse = connect.NewError(connect.CodeFailedPrecondition, errors.New("member id 4 was used before"))
		t.run("members add 4 10.0.0.4:7101")
		t.refuse, t.busy, t.changed = nil, 3, 0
		t.run("members add 5 10.0.0.5:7101")
		t.note("member changes arrived: %d", t.changed)
		t.busy = 1000
		t.run("members add 6 10.0.0.6:7101 --timeout 1s")
		t.busy, t.members = 0, t.members[:1]
		t.run("members remove 1")
		t.loseAnswers = 1
		t.run("drain doc-1")
		t.loseAnswers = 1000
		t.run("drain doc-1 --undo --timeout 1s")
	})
}

// TestReach guards against an operator who cannot act though a majority of
// control works, and against "may have been accepted" where nothing was sent.
func TestReach(t *testing.T) {
	scenario(t, "reach", func(t *terminal) {
		const all = " --control=10.0.0.1:7102 --control=10.0.0.2:7102 --control=10.0.0.3:7102"
		t.file("a.rules", launch)
		t.leader = netip.MustParseAddrPort("10.0.0.3:7102")
		t.run("apply @a.rules" + all)
		t.note("asked %v", t.asked)
		t.note("one member is known, and another one leads")
		t.asked = nil
		t.run("members list --control=10.0.0.2:7102")
		started := time.Now()
		t.run("drain app-9 --control=10.0.0.2:7102")
		t.note("asked %v, took %s", t.asked, time.Since(started))
		t.note("members name the leader's other listener")
		t.asked, t.hint = nil, "10.0.0.3:7101"
		t.run("members list" + all)
		t.note("asked %v", t.asked)
		t.run("members list --timeout 1s --control=10.0.0.1:7102 --control=10.0.0.2:7102")
		t.hint = ""
		t.silent["10.0.0.1:7102"], t.absent["10.0.0.2:7102"] = true, true
		started = time.Now()
		t.run("members list" + all)
		t.note("took %s", time.Since(started))
		t.note("no leader for two seconds")
		t.silent, t.absent = map[string]bool{}, map[string]bool{}
		t.leader, t.electedAt = leaderAddress, time.Now().Add(2*time.Second)
		started = time.Now()
		t.run("members list" + all)
		t.note("took %s", time.Since(started).Round(time.Second))
		t.leader = netip.MustParseAddrPort("10.0.0.9:7102")
		t.run("members list --timeout 1s" + all)
		t.leader = leaderAddress
		t.silent["10.0.0.1:7102"] = true
		t.run("apply @a.rules --timeout 1500ms")
		t.secret, t.silent = "correctHorse", map[string]bool{}
		t.run("members list")
		t.file("secret", "correctHorse\n")
		t.file("ctl.ini", "[control]\naddresses = 10.0.0.2:7102, 10.0.0.1:7102\nsecretFile = "+t.folder+"/secret\n")
		t.run("members list --settings @ctl.ini")
		if err := os.Chmod(filepath.Join(t.folder, "secret"), 0o644); err != nil {
			t.Fatal(err)
		}
		t.run("members list --settings @ctl.ini")
	})
}

// TestShow guards against a status or an explanation that leaves out what an
// operator decides by, and against names that steer the terminal.
func TestShow(t *testing.T) {
	scenario(t, "show", func(t *terminal) {
		t.file("a.rules", launch+"zone amman-3 out  # Samir: switch\nserver doc-2 drain  # Samir: replaced\n"+
			"pin applications key=centre-9 to app-1  # Rahma: hot\n")
		t.run("apply @a.rules --expect 0")
		t.nodes[0].Node.Cold = true
		t.nodes[1].LeaseLeftMs = 0
		t.nodes[2].Node.BackendServer.Name = "doc-1\x1b[2J"
		t.nodes[2].Node.BackendServer.Upstream = "documents\x1b[3A"
		t.run("status")
		t.run("status --json")
		t.run("explain centre-9 --upstream applications")
		t.run("explain centre-9 --upstream documents")
	})
}

// TestWatch guards against a watch that applies half a save, goes on after
// another operator's change, or ends at the first fault.
func TestWatch(t *testing.T) {
	scenario(t, "watch", func(t *terminal) {
		t.file("a.rules", launch)
		t.onStatus = inForce
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan int)
		go func() { done <- t.runIn(ctx, "watch @a.rules") }()
		save := func(text string) {
			t.file("a.rules", text)
			time.Sleep(10 * time.Second)
		}
		time.Sleep(time.Second)
		save(launch + "# first save\n")
		t.file("a.rules", "upstream applic")
		time.Sleep(100 * time.Millisecond)
		save(launch + "zone amman-1 away  # Samir: fault\n")
		t.mu.Lock()
		// More than one call sends, so that the watch itself tries again.
		t.loseAnswers = 30
		t.mu.Unlock()
		save(launch + "zone amman-3 out  # Samir: switch\n")
		time.Sleep(20 * time.Second)
		save("")
		save(launch + "zone amman-3 in  # Samir: back\n")
		cancel()
		<-done
		// The conflict ends the watch long before this.
		ctx, cancel = context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		go func() { done <- t.runIn(ctx, "watch @a.rules") }()
		time.Sleep(time.Second)
		t.file("b.rules", launch)
		t.run("apply @b.rules")
		save(launch + "zone amman-2 in  # Samir: conflict\n")
		<-done
	})
}
