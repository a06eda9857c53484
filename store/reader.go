package store

import (
	"fmt"

	"rhubarbrack/agree"
)

// reader reads the records of a log file.
type reader struct {
	log     *Log
	content []byte
	end     int64
	hard    agree.HardState
	entries []agree.Entry
}

// read reads records up to the end of the file or of its intact part.
func (r *reader) read() error {
	for int(r.end) < len(r.content) {
		body, size, ok := frameAt(r.content[r.end:])
		if !ok {
			return r.checkTail()
		}
		if err := r.apply(body); err != nil {
			return fmt.Errorf("apply record: %w", err)
		}
		r.end += int64(size)
	}
	return nil
}

func (r *reader) apply(body []byte) error {
	var record logRecord
	if err := decode(body, &record); err != nil {
		return r.corrupt(err.Error())
	}
	if record.Synced > r.end {
		return r.corrupt("a record claims that a later offset is synced")
	}
	if record.Hard != nil {
		r.hard = record.Hard.hardState()
	}
	for _, e := range record.Entries {
		if err := r.add(e.entry()); err != nil {
			return fmt.Errorf("add entry: %w", err)
		}
	}
	return nil
}

// add appends an entry and drops those that it replaces.
func (r *reader) add(e agree.Entry) error {
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

// checkTail tells a torn tail from corruption. A record after the broken one
// that was written when this offset was synced proves corruption.
func (r *reader) checkTail() error {
	for at := nextFrame(r.content, int(r.end)+1); at >= 0; at = nextFrame(r.content, at+1) {
		body, _, _ := frameAt(r.content[at:])
		var record logRecord
		if err := decode(body, &record); err == nil && record.Synced > r.end {
			return r.corrupt("broken record")
		}
	}
	return nil
}

func (r *reader) corrupt(reason string) error { return r.log.corrupt(logName, r.end, reason) }
