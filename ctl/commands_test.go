package ctl_test

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control"
	"github.com/jujubeknot/jujubeknot/core/settings"
	"github.com/jujubeknot/jujubeknot/ctl"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestHelp guards against a command whose help lacks an example or the exit
// codes, and against an example that the program refuses.
func TestHelp(t *testing.T) {
	for _, c := range ctl.Commands() {
		if err := ctl.Parse(strings.Fields(c.Example)); err != nil || !strings.HasPrefix(c.Example, c.Name) {
			t.Errorf("example of %s: %v", c.Name, err)
		}
		var out strings.Builder
		if code := ctl.Run(t.Context(), append(strings.Fields(c.Name), "--help"), &out, &out); code != ctl.ExitDone {
			t.Errorf("help of %s ends with %d", c.Name, code)
		}
		if want := "\nExample:\n  jujubeknotctl " + c.Example + "\n\nExit codes:\n  0  done\n"; !strings.Contains(out.String(), want) {
			t.Errorf("help of %s lacks %q:\n%s", c.Name, want, out.String())
		}
		for _, e := range ctl.ExitCodes() {
			if has := strings.Contains(out.String(), strings.ReplaceAll(e.Meaning, "`", "")); has != slices.Contains(c.Codes, e.Code) {
				t.Errorf("help of %s names exit code %d: %v", c.Name, e.Code, has)
			}
		}
	}
	var out strings.Builder
	for _, line := range []string{"--help", "members --help"} {
		ctl.Run(t.Context(), strings.Fields(line), &out, &out)
	}
	for _, want := range []string{"  6  the command names", "jujubeknotctl members add 4", "jujubeknotctl members remove 3"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("general help lacks %q", want)
		}
	}
}

// dataFolder makes the data folder of a control member that never formed a
// group.
func dataFolder(t *testing.T, path string) {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	m, err := control.New(control.Config{
		Name: "c", MemberID: 1, GroupID: "g", DataFolder: path, InitialMembers: []settings.Member{{ID: 1, Address: loopback}},
		MemberSecret: "member", NodeSecret: "node", Peer: loopback, Operator: loopback,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
}

// exits has what each command line ended with.
type exits struct {
	*terminal
	seen map[string]map[int]bool
}

// ends runs a command line, whose first words are those of a command.
func (e *exits) ends(line string, want int) {
	e.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if code := e.runIn(ctx, line); code != want {
		e.Errorf("%s ends with %d, want %d:\n%s", line, code, want, e.terminal.seen.String())
	}
	e.terminal.seen.Reset()
	for _, c := range ctl.Commands() {
		if strings.HasPrefix(line+" ", c.Name+" ") {
			if e.seen[c.Name] == nil {
				e.seen[c.Name] = map[int]bool{}
			}
			e.seen[c.Name][want] = true
		}
	}
}

// lines are command lines of every command that asks control.
var lines = []string{
	"diff @a.rules", "apply @a.rules", "watch @a.rules", "status", "explain k --upstream applications", "drain app-1", "history",
	"members list", "members add 4 10.0.0.4:7101", "members remove 3",
}

// TestExitCodes guards against a command that ends with another code than the
// documents say, and against a code of a command that is not documented: each
// pair of command and code is run.
func TestExitCodes(t *testing.T) {
	folder := t.TempDir()
	t.Setenv(ctl.SettingsVariable, "")
	dataFolder(t, filepath.Join(folder, "member"))
	synctest.Test(t, func(t *testing.T) {
		e := &exits{terminal: &terminal{T: t, fakeControl: newFakeControl(), folder: folder}, seen: map[string]map[int]bool{}}
		defer e.close()
		e.nodes = []*wirev1.NodeStatus{node(11, "app-1", "applications", "amman-1"), node(12, "app-2", "applications", "amman-2")}
		e.onStatus = inForce
		e.file("a.rules", launch)
		e.file("b.rules", launch+"option maxDepth=1  # Samir: no cycles\n")
		e.file("bad.rules", "zone a out\n")
		e.file("secret", "wrongHorse\n")
		e.offline()
		e.leader = netip.MustParseAddrPort("10.0.0.9:7102")
		for _, line := range lines {
			e.ends(line+" --control nowhere", ctl.ExitUsage)
			e.ends(line+" --timeout 1s", ctl.ExitUnreachable)
		}
		e.leader, e.secret = leaderAddress, "correctHorse"
		for _, line := range lines {
			e.ends(line+" --secret-file @secret", ctl.ExitRefused)
		}
		e.secret = ""
		for _, line := range lines {
			e.ends(line, ctl.ExitDone)
		}
		e.refused()
		for _, c := range ctl.Commands() {
			for _, x := range ctl.ExitCodes() {
				if seen, documented := e.seen[c.Name][x.Code], slices.Contains(c.Codes, x.Code); seen != documented {
					t.Errorf("%s ends with %d: seen %v, documented %v", c.Name, x.Code, seen, documented)
				}
			}
		}
	})
}

// offline runs the commands that ask nobody.
func (e *exits) offline() {
	e.ends("check @a.rules", ctl.ExitDone)
	e.ends("check @bad.rules", ctl.ExitRefused)
	e.ends("check @missing.rules", ctl.ExitUsage)
	e.ends("inspect @missing", ctl.ExitUsage)
	data := filepath.Join(e.folder, "data")
	if err := os.Mkdir(data, 0o750); err != nil {
		e.Fatal(err)
	}
	e.ends("inspect @data", ctl.ExitUsage)
	e.file("data/identity", "damaged")
	e.ends("inspect @data", ctl.ExitRefused)
	e.ends("inspect @member", ctl.ExitDone)
}

// refused runs what control or the command refuses, or what does not end in
// time. The rules in force are those of a.rules, and app-1 drains.
func (e *exits) refused() {
	e.ends("explain k --upstream documents", ctl.ExitInvalid)
	e.ends("drain app-9", ctl.ExitInvalid)
	e.ends("drain app-2", ctl.ExitRefused)
	e.ends("drain app-1 --wait --timeout 1s", ctl.ExitPending)
	e.ends("members remove 9", ctl.ExitInvalid)
	e.refuse = connect.NewError(connect.CodeFailedPrecondition, errors.New("member id 3 was used before"))
	e.ends("members add 3 10.0.0.3:7101", ctl.ExitInvalid)
	e.ends("apply @b.rules --expect 0", ctl.ExitConflict)
	e.onStatus = nil
	e.ends("apply @b.rules --wait --timeout 1s", ctl.ExitPending)
	ended := make(chan struct{})
	go func() {
		e.ends("watch @a.rules", ctl.ExitConflict)
		close(ended)
	}()
	time.Sleep(time.Second)
	faster := &wirev1.ApplyRulesRequest{BaseRevision: e.state.Revision(), Text: launch + "option maxDepth=2  # Samir: faster\n", RequestId: "faster"}
	if _, err := e.ApplyRules(context.Background(), connect.NewRequest(faster)); err != nil {
		e.Error(err)
	}
	e.file("a.rules", launch+"option maxDepth=0  # Samir: late\n")
	<-ended
}
