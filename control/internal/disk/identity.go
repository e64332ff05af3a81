package disk

import (
	"encoding/json"
	"fmt"
	"io/fs"

	"github.com/pkg/errors"
)

const identityFile = "identity"

// Identity says which member a data folder belongs to.
type Identity struct {
	GroupID  string `json:"groupId"`
	MemberID uint64 `json:"memberId"`
	// FolderID is the random id of the folder.
	FolderID uint64 `json:"folder"`
	// Formed is set once the folder has a log. A formed folder without one was
	// damaged.
	Formed bool `json:"formed"`
}

func writeIdentity(files FS, identity Identity) error {
	payload, err := json.Marshal(identity)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return writeFile(files, identityFile, appendRecord(nil, KindIdentity, 0, 0, payload))
}

// readIdentity returns nil where there is no identity file.
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
	payload, err := readSingle(identityFile, KindIdentity, data)
	if err != nil {
		return nil, err
	}
	identity := &Identity{}
	if err := json.Unmarshal(payload, identity); err != nil {
		return nil, &DamageError{File: identityFile, Offset: headerSize, Reason: err.Error()}
	}
	if identity.GroupID == "" || identity.MemberID == 0 || identity.FolderID == 0 {
		return nil, &DamageError{File: identityFile, Offset: headerSize, Reason: "an id is missing"}
	}
	return identity, nil
}
