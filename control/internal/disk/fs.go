package disk

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// FS provides the file operations of one data folder. Names are file names
// without a path.
type FS interface {
	// Create opens an empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Read returns the whole content. The error is fs.ErrNotExist if there is no
	// such file.
	Read(name string) ([]byte, error)
	// List returns the names of all files.
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
	// Lock prevents a second process from using the folder until the result is
	// closed.
	Lock() (io.Closer, error)
}

// File is a file open for writing. Written data is durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// lockFile is the file that a process keeps locked while it uses the data
// folder.
const lockFile = "lock"

// folder implements FS for the directory at this path.
type folder string

// OpenOrCreateFolder returns the file system of a data folder and creates the
// folder if it does not exist.
func OpenOrCreateFolder(dir string) (FS, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	return folder(dir), nil
}

// OpenFolder returns the file system of an existing data folder.
func OpenFolder(dir string) (FS, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	if !info.IsDir() {
		return nil, errors.Errorf("open data folder: %s is not a folder", dir)
	}
	return folder(dir), nil
}

func (f folder) path(name string) string {
	return filepath.Join(string(f), name)
}

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o640)
}

func (f folder) Append(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_WRONLY|os.O_APPEND, 0)
}

func (f folder) Read(name string) ([]byte, error) {
	return os.ReadFile(f.path(name))
}

func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (f folder) Rename(from, to string) error {
	return os.Rename(f.path(from), f.path(to))
}

func (f folder) Remove(name string) error {
	return os.Remove(f.path(name))
}

func (f folder) SyncDir() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	if err := dir.Sync(); err != nil {
		_ = dir.Close()
		return err
	}
	return dir.Close()
}

func (f folder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.path(lockFile), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	return flock(file, string(f), syscall.LOCK_EX)
}

// LockExisting takes a shared lock on a data folder without writing to it. A
// folder without a lock file, such as a copy, is not in use and needs no lock.
func LockExisting(dir string) (io.Closer, error) {
	file, err := os.Open(filepath.Join(dir, lockFile))
	if errors.Is(err, fs.ErrNotExist) {
		return io.NopCloser(nil), nil
	}
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	return flock(file, dir, syscall.LOCK_SH)
}

func flock(file *os.File, dir string, lockType int) (io.Closer, error) {
	err := syscall.Flock(int(file.Fd()), lockType|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Errorf("data folder %s is in use by another process", dir)
	}
	return nil, fmt.Errorf("lock data folder %s: %w", dir, err)
}

// writeFile replaces a file atomically and durably: after a crash the file has
// either the old or the new content.
func writeFile(files FS, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := files.Create(temporary)
	if err != nil {
		return fmt.Errorf("create %s: %w", temporary, err)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return fmt.Errorf("sync %s: %w", temporary, err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", temporary, err)
	}
	if err := files.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	if err := files.SyncDir(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}
