package inspect

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// compact removes the white space that protojson varies from build to build, so
// that reports are reproducible.
func compact(data []byte) json.RawMessage {
	var b bytes.Buffer
	if err := json.Compact(&b, data); err != nil {
		return data
	}
	return b.Bytes()
}

// writeText prints the report as lines of text, with damage last.
func (r report) writeText(w io.Writer) error {
	var b bytes.Buffer
	if i := r.Identity; i != nil {
		fmt.Fprintf(&b, "identity: member %d of group %q, folder %d, formed %v\n", i.MemberID, i.GroupID, i.Folder, i.Formed)
	} else {
		fmt.Fprintln(&b, "identity: none")
	}
	fmt.Fprintf(&b, "hard state: term %d, vote %d\n", r.Term, r.Vote)
	for _, s := range r.Snapshots {
		fmt.Fprintf(&b, "snapshot %s: %d bytes, index %d, term %d, %s\n  membership %s\n", s.File, s.Bytes, s.Index, s.Term, s.Summary, s.Members)
	}
	for _, s := range r.Segments {
		fmt.Fprintf(&b, "segment %s: %d bytes, %d readable, %d records, entries %d to %d after %d", s.File, s.Bytes, s.Readable, s.Records, s.First, s.Last, s.Previous)
		if s.Reset {
			fmt.Fprint(&b, ", resets the log")
		}
		if s.Closed {
			fmt.Fprint(&b, ", closed cleanly")
		}
		fmt.Fprintln(&b)
	}
	for _, e := range r.Entries {
		fmt.Fprintf(&b, "entry %d: term %d, %s %s\n", e.Index, e.Term, e.Kind, e.Content)
	}
	if r.TornBytes > 0 {
		fmt.Fprintf(&b, "torn tail: %d bytes that were not synced; the next start truncates them\n", r.TornBytes)
	}
	for _, d := range r.Damage {
		fmt.Fprintf(&b, "damage: %s\n", d)
	}
	if len(r.Damage) == 0 {
		fmt.Fprintln(&b, "no damage found")
	}
	_, err := w.Write(b.Bytes())
	return err
}
