package disk

import "fmt"

// Erase removes all files of a data folder that no process uses. The identity
// goes first, so that what is left after an interruption is never taken for a
// member's log.
func Erase(files FS) error {
	names, err := files.List()
	if err != nil {
		return fmt.Errorf("list the data folder: %w", err)
	}
	for _, first := range []bool{true, false} {
		for _, name := range names {
			if name == lockFile || (name == identityFile) != first {
				continue
			}
			if err := files.Remove(name); err != nil {
				return fmt.Errorf("remove %s: %w", name, err)
			}
		}
		if err := files.SyncDir(); err != nil {
			return fmt.Errorf("sync the data folder: %w", err)
		}
	}
	return nil
}
