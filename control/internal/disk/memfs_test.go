package disk_test

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
)

var errCrashed = errors.New("crashed")

// memFS is a file system in memory that can simulate a crash. Names are durable
// after SyncDir, contents after Sync. Before, any of them may be durable.
type memFS struct {
	current map[string]*inode
	durable map[string]*inode
	// changes are the changes of names since the last SyncDir. Each may be durable
	// without those before it.
	changes []func(names map[string]*inode)
	locked  bool
	// operations counts the calls that change something. They fail once more
	// than failAt were made; a negative failAt means never.
	operations int
	failAt     int
	random     *rand.Rand
}

type inode struct {
	data   []byte
	synced []byte
}

func newMemFS(seed uint64) *memFS {
	return &memFS{
		current: map[string]*inode{}, durable: map[string]*inode{}, failAt: -1, random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// crash returns the files as a restarted process finds them: the durable names,
// with some of the changes that were not synced, and their synced contents. A part
// of the contents that were not synced may follow, with its end zeroed or not.
func (m *memFS) crash() *memFS {
	return m.crashKeeping(m.random.Uint64())
}

// crashKeeping is like crash. Of the changes of names that were not synced, it keeps
// those whose bit is set.
func (m *memFS) crashKeeping(bits uint64) *memFS {
	next := newMemFS(m.random.Uint64())
	durable := maps.Clone(m.durable)
	for i, change := range m.changes {
		if bits>>i&1 != 0 {
			change(durable)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(durable)) {
		n := durable[name]
		data := bytes.Clone(n.synced)
		if rest, ok := bytes.CutPrefix(n.data, n.synced); ok && len(rest) > 0 {
			part := bytes.Clone(rest[:m.random.IntN(len(rest)+1)])
			if len(part) > 0 && m.random.IntN(2) == 0 {
				clear(part[m.random.IntN(len(part)):])
			}
			data = append(data, part...)
		}
		file := &inode{data: data, synced: bytes.Clone(data)}
		next.current[name], next.durable[name] = file, file
	}
	return next
}

// clone returns a copy in which all names and contents are durable.
func (m *memFS) clone() *memFS {
	next := newMemFS(1)
	for name, n := range m.current {
		file := &inode{data: bytes.Clone(n.data), synced: bytes.Clone(n.data)}
		next.current[name], next.durable[name] = file, file
	}
	return next
}

func (m *memFS) operation() error {
	m.operations++
	if m.failAt >= 0 && m.operations > m.failAt {
		return errCrashed
	}
	return nil
}

// change changes names. The change is durable after SyncDir.
func (m *memFS) change(do func(names map[string]*inode)) {
	do(m.current)
	m.changes = append(m.changes, do)
}

func (m *memFS) Create(name string) (disk.File, error) {
	if err := m.operation(); err != nil {
		return nil, err
	}
	n := &inode{}
	m.change(func(names map[string]*inode) { names[name] = n })
	return &memFile{m, n}, nil
}

func (m *memFS) Append(name string) (disk.File, error) {
	n := m.current[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &memFile{m, n}, nil
}

func (m *memFS) Read(name string) ([]byte, error) {
	n := m.current[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(n.data), nil
}

func (m *memFS) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.current)), nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.operation(); err != nil {
		return err
	}
	n := m.current[from]
	m.change(func(names map[string]*inode) {
		names[to] = n
		delete(names, from)
	})
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.operation(); err != nil {
		return err
	}
	m.change(func(names map[string]*inode) { delete(names, name) })
	return nil
}

func (m *memFS) SyncDir() error {
	if err := m.operation(); err != nil {
		return err
	}
	m.durable, m.changes = maps.Clone(m.current), nil
	return nil
}

func (m *memFS) Lock() (io.Closer, error) {
	if m.locked {
		return nil, errors.New("locked")
	}
	m.locked = true
	return closer(func() { m.locked = false }), nil
}

type closer func()

func (c closer) Close() error {
	c()
	return nil
}

type memFile struct {
	files *memFS
	inode *inode
}

func (f *memFile) Write(p []byte) (int, error) {
	if err := f.files.operation(); err != nil {
		part := f.files.random.IntN(len(p) + 1)
		f.inode.data = append(f.inode.data, p[:part]...)
		return part, err
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if err := f.files.operation(); err != nil {
		return err
	}
	f.inode.synced = bytes.Clone(f.inode.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	if err := f.files.operation(); err != nil {
		return err
	}
	f.inode.data = bytes.Clone(f.inode.data[:size])
	return nil
}

func (f *memFile) Close() error { return nil }
