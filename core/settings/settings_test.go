package settings_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/settings"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// TestMain fixes rapid's seed so that each run draws the same cases.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{})
}

type example struct {
	Node struct {
		Name   string            `ini:"name" check:"required|max=63" help:"unique name"`
		ID     uint64            `ini:"id" check:"min=1" default:"1"`
		Secret string            `ini:"secret" check:"secret|min=16"`
		Group  []settings.Member `ini:"group" check:"max=7"`
	} `ini:"node"`
	Listen struct {
		Peer   netip.AddrPort   `ini:"peer" check:"required|min=1"`
		Others []netip.AddrPort `ini:"others"`
		Names  []string         `ini:"names"`
	} `ini:"listen"`
	Lease struct {
		Duration time.Duration `ini:"duration" default:"1500ms" check:"min=100ms|max=1m"`
		Share    float64       `ini:"share" default:"0.05" check:"min=0|max=1"`
		Fast     bool          `ini:"fast"`
		Count    int           `ini:"count" default:"-3"`
	} `ini:"lease"`
	Log struct {
		Level string `ini:"level" default:"info" check:"oneof=debug,info,warn,error"`
	} `ini:"log"`
}

// TestFaults guards against errors in a settings file that are not reported, are
// reported without their line, or are hidden by another error of the same file. It
// also guards against secrets in error messages.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("got files %v and error %v, want at least one file", files, err)
	}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		target, before := example{}, example{}
		err = settings.Decode(filepath.Base(path), data, &target)
		if err == nil {
			t.Fatalf("%s: Decode returned no error, want one", path)
		}
		if !reflect.DeepEqual(target, before) {
			t.Errorf("%s: Decode returned an error and changed the target", path)
		}
		testkit.Golden(t, strings.TrimSuffix(path, ".ini")+".golden", err.Error()+"\n")
	}
	for name, data := range map[string]string{
		"size": strings.Repeat("#\n", settings.MaxFileBytes),
		"text": "[node]\nname = \xff\n",
	} {
		if err := settings.Decode("node.ini", []byte(data), &example{}); err == nil {
			t.Errorf("%s: Decode returned no error, want one", name)
		}
	}
}

// TestRoundTrip guards against values that are decoded differently from how they
// were written, and against settings that do not get their default values.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := example{}
		want.Node.Name = rapid.StringMatching(`[a-zA-Z0-9:._#;-]{1,20}[a-z]`).Draw(t, "name")
		want.Node.ID = rapid.Uint64Range(1, 1<<63).Draw(t, "id")
		want.Node.Secret = rapid.StringMatching(`[a-zA-Z0-9/+]{16,40}`).Draw(t, "secret")
		want.Listen.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, rapid.Byte().Draw(t, "host")}),
			rapid.Uint16Min(1).Draw(t, "port"))
		want.Listen.Others = rapid.SliceOfN(rapid.Just(want.Listen.Peer), 1, 5).Draw(t, "others")
		want.Listen.Names = rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,5}`), 1, 5).Draw(t, "names")
		want.Node.Group = []settings.Member{{ID: want.Node.ID, Address: want.Listen.Peer}}
		want.Lease.Duration = time.Duration(rapid.Int64Range(1e8, 6e10).Draw(t, "duration"))
		want.Lease.Share = rapid.Float64Range(0, 1).Draw(t, "share")
		want.Lease.Fast = rapid.Bool().Draw(t, "fast")
		want.Lease.Count = -3
		want.Log.Level = "info"
		others := strings.Trim(strings.Join(strings.Fields(fmt.Sprint(want.Listen.Others)), " , "), "[]")
		text := fmt.Sprintf("# settings\n[node] # one\nname=%s\nid = %d ; id\nsecret = \"%s\"\ngroup = %s\n\n"+
			"[lease]\r\nduration = %s\r\nshare = %v\nfast = %t\n[listen]\npeer = %s\nothers = %s\nnames = %s",
			want.Node.Name, want.Node.ID, want.Node.Secret, want.Node.Group[0], want.Lease.Duration, want.Lease.Share,
			want.Lease.Fast, want.Listen.Peer, others, strings.Join(want.Listen.Names, ","))
		var got example
		if err := settings.Decode("node.ini", []byte(text), &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v from\n%s", got, want, text)
		}
	})
}

// TestTable guards against documentation that shows other limits than those that
// Decode checks.
func TestTable(t *testing.T) {
	testkit.Golden(t, filepath.Join("testdata", "table.golden"), settings.Table(settings.Describe(&example{})))
}

// TestWrongTarget guards against a program whose settings are never checked
// because a tag of the target is misspelt.
func TestWrongTarget(t *testing.T) {
	for name, target := range map[string]any{
		"no pointer": example{},
		"no tag":     &struct{ Node struct{ Name string } }{},
		"type": &struct {
			Node struct {
				Name chan int `ini:"name"`
			} `ini:"node"`
		}{},
		"check": &struct {
			Node struct {
				Name string `ini:"name" check:"require"`
			} `ini:"node"`
		}{},
		"bound": &struct {
			Node struct {
				Wait time.Duration `ini:"wait" check:"min=5"`
			} `ini:"node"`
		}{},
		"default": &struct {
			Node struct {
				Wait time.Duration `ini:"wait" default:"5"`
			} `ini:"node"`
		}{},
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: Describe did not panic", name)
				}
			}()
			_ = settings.Describe(target)
		}()
	}
}

// FuzzDecode guards against panics on files that an operator or an editor has
// damaged, and against required settings that are not checked.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("[node]\nname = a\n[listen]\npeer = 127.0.0.1:1\n"))
	f.Add([]byte("[[a]]\n=\n\"\n`\n\"\"\"\n-=1\n%(x)s=%(x)s\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var target example
		if err := settings.Decode("f.ini", data, &target); err == nil && target.Node.Name == "" {
			t.Fatal("Decode returned no error for a file without the required name")
		}
	})
}
