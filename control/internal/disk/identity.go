package disk

import (
	"encoding/json"
	"fmt"
	"io/fs"

	"github.com/pkg/errors"
)

const identityFile = "identity"

// Identity is the member to which a data folder belongs.
type Identity struct {
	GroupID  string `json:"groupId"`
	MemberID uint64 `json:"memberId"`
	// FolderID is the random id of the data folder. A member with the same
	// MemberID and another FolderID has lost its disk.
	FolderID uint64 `json:"folder"`
	// Formed is true once the folder has a log. A folder that is formed but has
	// no log is damaged.
	Formed bool `json:"formed"`
}

func writeIdentity(files FS, identity Identity) error {
	payload, err := json.Marshal(identity)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return writeFile(files, identityFile, appendRecord(nil, KindIdentity, 0, 0, payload))
}

// readIdentity returns nil if there is no identity file.
func readIdentity(files FS) (*Identity, error) {
	data, err := files.Read(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read identity: %w", err)
	}
	return decodeIdentity(data)
}

func decodeIdentity(data []byte) (*Identity, error) {
	payload, err := readSingleRecord(identityFile, KindIdentity, data)
	if err != nil {
		return nil, err
	}
	identity := &Identity{}
	if err := json.Unmarshal(payload, identity); err != nil {
		return nil, &DamageError{File: identityFile, Offset: recordHeaderSize, Reason: err.Error()}
	}
	if identity.GroupID == "" || identity.MemberID == 0 || identity.FolderID == 0 {
		return nil, &DamageError{File: identityFile, Offset: recordHeaderSize, Reason: "group id, member id or folder id is missing"}
	}
	return identity, nil
}
