package store

import (
	"fmt"

	"rhubarbrack/agree"
)

// logReader reads the records of a log file. All records before offset have been
// applied, and they state that the log was synced up to marked.
type logReader struct {
	log     *Log
	content []byte
	offset  int64
	marked  int64
	hard    agree.HardState
	entries []agree.Entry
}

// read reads records up to the end of the file or up to the first broken record.
func (r *logReader) read() error {
	for int(r.offset) < len(r.content) {
		body, size, ok := decodeFrame(r.content[r.offset:])
		if !ok {
			return r.checkTail()
		}
		if err := r.applyRecord(body); err != nil {
			return fmt.Errorf("apply record: %w", err)
		}
		r.offset += int64(size)
	}
	return nil
}

func (r *logReader) applyRecord(body []byte) error {
	var record logRecord
	if err := decode(body, &record); err != nil {
		return r.corrupt(err.Error())
	}
	if record.Synced > r.offset {
		return r.corrupt("a record claims that a later offset is synced")
	}
	r.marked = max(r.marked, record.Synced)
	if record.Hard != nil {
		r.hard = record.Hard.hardState()
	}
	for _, e := range record.Entries {
		if err := r.addEntry(e.entry()); err != nil {
			return fmt.Errorf("add entry: %w", err)
		}
	}
	return nil
}

// addEntry appends an entry and drops the entries that it replaces.
func (r *logReader) addEntry(e agree.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first, next := r.entries[0].Revision(), r.entries[len(r.entries)-1].Revision()+1
	if e.Revision() < first || e.Revision() > next {
		return r.corrupt(fmt.Sprintf("entry %d where one from %d to %d is expected", e.Revision(), first, next))
	}
	r.entries = append(r.entries[:e.Revision()-first], e)
	return nil
}

// checkTail distinguishes a torn tail from corruption. A later record that was
// written after this offset had been synced proves corruption.
func (r *logReader) checkTail() error {
	for at := findFrame(r.content, int(r.offset)+1); at >= 0; at = findFrame(r.content, at+1) {
		body, _, _ := decodeFrame(r.content[at:])
		var record logRecord
		if err := decode(body, &record); err == nil && record.Synced > r.offset {
			return r.corrupt("broken record")
		}
	}
	return nil
}

func (r *logReader) corrupt(reason string) error { return r.log.corrupt(logFileName, r.offset, reason) }
