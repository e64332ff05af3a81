package disk

import "fmt"

// Erase removes all files of a data folder except the lock file and the
// contacts, at which the next member asks for the group. No process may use the
// folder. The identity is removed first, so that the files left by an
// interrupted call are never taken for a member's log.
func Erase(files FS) error {
	names, err := files.List()
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	for _, identityPass := range []bool{true, false} {
		for _, name := range names {
			if name == lockFile || name == contactsFile || (name == identityFile) != identityPass {
				continue
			}
			if err := files.Remove(name); err != nil {
				return fmt.Errorf("remove %s: %w", name, err)
			}
		}
		if err := files.SyncDir(); err != nil {
			return fmt.Errorf("sync data folder: %w", err)
		}
	}
	return nil
}
