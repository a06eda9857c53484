package store

import (
	"fmt"

	"rhubarbrack/ident"
)

// Owner returns the host that a directory belongs to, or false if the directory
// is new. It does not modify the directory.
func Owner(directory string, files FileSystem) (ident.Host, bool, error) {
	l := &Log{files: files, directory: directory}
	body, err := l.readRecord(identityFileName)
	if isNotExist(err) {
		return "", false, nil
	}
	if err != nil {
		return "", false, fmt.Errorf("owner of %s: %w", directory, err)
	}
	var record identityRecord
	if err := decode(body, &record); err != nil {
		return "", false, l.corrupt(identityFileName, 0, err.Error())
	}
	return ident.Host(record.Host), true, nil
}
