// Package inspect reports the content of a control member's data folder while
// no process uses it.
package inspect

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Options select what Run prints. The zero value prints everything as text.
type Options struct {
	// JSON prints one JSON document instead of text.
	JSON bool
	// From is the index of the first entry that is printed. 0 means no limit.
	From uint64
	// To is the index of the last entry that is printed. 0 means no limit.
	To uint64
	// SkipEntries omits the entries.
	SkipEntries bool
	// Rules prints only the text of the last rules. These may come from an entry
	// that was not committed.
	Rules bool
}

// ErrDamaged is returned after a report that lists damage.
var ErrDamaged = errors.New("the data folder is damaged")

// ErrNoData is returned for a folder without files of a control member, such as
// a mistyped path or the folder of an erased disk.
var ErrNoData = errors.New("not a data folder of a control member: it has no identity, no log and no snapshot")

// Run reads the data folder and prints identity, hard state, snapshots,
// segments, entries with their commands, and damage. It changes no file and
// fails if a process uses the folder. It returns ErrDamaged if a member cannot
// start with the folder. It prints nothing and returns ErrNoData if the folder
// is not a data folder.
func Run(dir string, options Options, w io.Writer) error {
	files, err := disk.OpenFolder(dir)
	if err != nil {
		return err
	}
	lock, err := disk.LockExisting(dir)
	if err != nil {
		return err
	}
	defer lock.Close() //nolint:errcheck // The end of the process releases the lock too.
	inspection, err := disk.Inspect(files)
	if err != nil {
		return fmt.Errorf("inspect data folder: %w", err)
	}
	if inspection.Empty() {
		return ErrNoData
	}
	r := newReport(inspection, options)
	switch {
	case options.Rules:
		_, err = io.WriteString(w, lastRules(inspection))
	case options.JSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r)
	default:
		err = r.writeText(w)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if len(inspection.Damage) > 0 {
		return ErrDamaged
	}
	return nil
}

// report is the printed form of a data folder.
type report struct {
	Identity  *identity  `json:"identity"`
	Term      uint64     `json:"term"`
	Vote      uint64     `json:"vote"`
	Snapshots []snapshot `json:"snapshots"`
	Segments  []segment  `json:"segments"`
	Entries   []entry    `json:"entries"`
	// TornBytes is the number of bytes after the last record. They were not synced
	// when the process ended and do not count as damage.
	TornBytes int64    `json:"tornBytes"`
	Damage    []string `json:"damage"`
}

type identity struct {
	GroupID  string `json:"groupId"`
	MemberID uint64 `json:"memberId"`
	Folder   uint64 `json:"folder,string"`
	Formed   bool   `json:"formed"`
}

type snapshot struct {
	File    string          `json:"file"`
	Bytes   int             `json:"bytes"`
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Members json.RawMessage `json:"membership"`
	Summary string          `json:"state"`
}

type segment struct {
	File     string `json:"file"`
	Bytes    int    `json:"bytes"`
	Readable int64  `json:"readableBytes"`
	Records  int    `json:"records"`
	First    uint64 `json:"firstIndex"`
	Last     uint64 `json:"lastIndex"`
	Previous uint64 `json:"previousIndex"`
	Reset    bool   `json:"reset"`
	Closed   bool   `json:"closed"`
}

type entry struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Kind    string          `json:"kind"`
	Content json.RawMessage `json:"content"`
}

func newReport(s disk.Inspection, options Options) report {
	r := report{
		Term: s.Hard.Term, Vote: s.Hard.Vote, TornBytes: s.TornBytes,
		Snapshots: []snapshot{}, Segments: []segment{}, Entries: []entry{}, Damage: []string{},
	}
	if i := s.Identity; i != nil {
		r.Identity = &identity{GroupID: i.GroupID, MemberID: i.MemberID, Folder: i.FolderID, Formed: i.Formed}
	}
	for _, info := range s.Snapshots {
		r.Snapshots = append(r.Snapshots, newSnapshot(info))
	}
	for _, g := range s.Segments {
		r.Segments = append(r.Segments, segment{
			File: g.File, Bytes: g.Bytes, Readable: g.ReadableBytes, Records: g.Records, First: g.First.Index,
			Last: g.Last.Index, Previous: g.Header.Previous.Index, Reset: g.Header.Reset, Closed: g.Closed,
		})
	}
	for _, e := range s.Entries {
		if !options.SkipEntries && e.Index >= options.From && (options.To == 0 || e.Index <= options.To) {
			r.Entries = append(r.Entries, newEntry(e))
		}
	}
	for _, err := range s.Damage {
		r.Damage = append(r.Damage, err.Error())
	}
	return r
}

func newSnapshot(info disk.SnapshotInfo) snapshot {
	s := snapshot{File: info.File, Bytes: info.Bytes, Index: info.Snapshot.GetIndex(), Term: info.Snapshot.GetTerm(), Members: json.RawMessage("null")}
	if info.Snapshot == nil {
		s.Summary = "unreadable"
		return s
	}
	s.Members = toJSON(info.Snapshot.Membership)
	state := &wirev1.ClusterState{}
	if err := proto.Unmarshal(info.Snapshot.Data, state); err != nil {
		s.Summary = "state cannot be decoded: " + err.Error()
		return s
	}
	s.Summary = fmt.Sprintf("applied index %d, %d nodes, %d assignments, rules revision %d",
		state.AppliedIndex, len(state.Nodes), len(state.Assignments), state.Rules.GetRevision())
	return s
}

// newEntry decodes the content of an entry. Content that cannot be decoded is
// printed as base64.
func newEntry(e *wirev1.Entry) entry {
	out := entry{Index: e.Index, Term: e.Term, Content: json.RawMessage("null")}
	var message proto.Message
	switch e.Kind {
	case wirev1.Entry_KIND_COMMAND:
		out.Kind, message = "command", &wirev1.Command{}
	case wirev1.Entry_KIND_MEMBERSHIP:
		out.Kind, message = "membership", &wirev1.Membership{}
	case wirev1.Entry_KIND_EMPTY:
		out.Kind = "empty"
		return out
	default:
		out.Kind = e.Kind.String()
	}
	if message == nil || proto.Unmarshal(e.Data, message) != nil {
		// Byte slices become base64, which is always valid JSON.
		out.Content, _ = json.Marshal(map[string][]byte{"undecodable": e.Data})
		return out
	}
	out.Content = toJSON(message)
	return out
}

// toJSON returns the message as JSON, or a JSON object with the error.
func toJSON(message proto.Message) json.RawMessage {
	data, err := protojson.Marshal(message)
	if err != nil {
		data, _ = json.Marshal(map[string]string{"undecodable": err.Error()})
	}
	return compact(data)
}
