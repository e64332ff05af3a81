package disk

import (
	"encoding/json"
	"fmt"
	"io/fs"

	"github.com/pkg/errors"
)

const contactsFile = "contacts"

// contacts is the content of the contacts file.
type contacts struct {
	Addresses []string `json:"addresses"`
}

// WriteContacts stores the addresses at which the group was last found. They
// are not part of the log, and Erase keeps them. It must not be called
// concurrently with itself, but may be while a Disk uses the folder.
func WriteContacts(files FS, addresses []string) error {
	payload, err := json.Marshal(contacts{Addresses: addresses})
	if err != nil {
		return fmt.Errorf("encode contacts: %w", err)
	}
	return writeFile(files, contactsFile, appendRecord(nil, KindContacts, 0, 0, payload))
}

// ReadContacts returns the addresses that WriteContacts stored, or none. The
// error is a *DamageError if the file is damaged.
func ReadContacts(files FS) ([]string, error) {
	data, err := files.Read(contactsFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read contacts: %w", err)
	}
	payload, err := readSingleRecord(contactsFile, KindContacts, data)
	if err != nil {
		return nil, err
	}
	var stored contacts
	if err := json.Unmarshal(payload, &stored); err != nil {
		return nil, &DamageError{File: contactsFile, Offset: recordHeaderSize, Reason: err.Error()}
	}
	return stored.Addresses, nil
}
