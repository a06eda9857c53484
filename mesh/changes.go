package mesh

import "rhubarbrack/patch"

const (
	// maxAnnouncedBytes is the size of the largest difference that is sent along
	// with the announcement of a configuration. It fits into the packet of a
	// heartbeat's reply, so it delays other traffic of a slow link by little.
	maxAnnouncedBytes = 1 << 10
	// maxAnnouncedBases is the number of earlier versions to which differences
	// are kept.
	maxAnnouncedBases = 8
)

// announcedChanges holds the differences of the newest configuration to earlier
// ones.
type announcedChanges struct {
	version uint64
	// records holds the differences by their base. A nil record stands for one
	// that is too large or not encoded yet.
	records map[uint64]*PieceRecord
}

// add adds a difference. Those to an older configuration are ignored.
func (c *announcedChanges) add(p patch.Piece) {
	if p.Version() < c.version {
		return
	}
	c.advance(p.Version())
	if p.Offset() != 0 || len(p.Data()) != p.Total() {
		return
	}
	record := newPieceRecord(p)
	c.records[p.Base()] = &record
}

// advance drops the differences to configurations older than the given one.
func (c *announcedChanges) advance(version uint64) {
	if version > c.version || c.records == nil {
		c.version, c.records = version, map[uint64]*PieceRecord{}
	}
}

// request records that a difference is needed, and reports whether to encode
// it.
func (c *announcedChanges) request(version, base uint64) bool {
	c.advance(version)
	if _, ok := c.records[base]; ok || len(c.records) >= maxAnnouncedBases || version != c.version {
		return false
	}
	c.records[base] = nil
	return true
}

// get returns the difference of a version to a base, or nil.
func (c *announcedChanges) get(version, base uint64) *PieceRecord {
	if version != c.version {
		return nil
	}
	return c.records[base]
}
