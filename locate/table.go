package locate

import (
	"fmt"
	"net/netip"

	"github.com/gaissmai/bart"

	"rhubarbrack/ident"
)

// Block is a range of client addresses with its nearest zone.
type Block struct {
	prefix netip.Prefix
	zone   ident.Zone
}

// NewBlock returns a block for the addresses with the given prefix.
func NewBlock(prefix netip.Prefix, zone ident.Zone) Block {
	return Block{prefix: prefix, zone: zone}
}

// Table maps client addresses to zones by longest prefix match. It is
// immutable and safe for concurrent use.
type Table struct {
	prefixes *bart.Table[uint16]
	zones    []ident.Zone
}

// maxZones is the number of zones that a 16-bit table entry can refer to.
const maxZones = 1 << 16

// NewTable returns a table of the given blocks. It returns an error if a
// prefix is invalid or if there are more than 65,536 zones. The last of
// several blocks with the same prefix applies.
func NewTable(blocks []Block) (*Table, error) {
	t := &Table{prefixes: new(bart.Table[uint16])}
	zoneIndex := make(map[ident.Zone]uint16)
	for _, b := range blocks {
		if !b.prefix.IsValid() {
			return nil, fmt.Errorf("client block of zone %s: invalid prefix", b.zone)
		}
		index, ok := zoneIndex[b.zone]
		if !ok {
			if len(t.zones) == maxZones {
				return nil, fmt.Errorf("client blocks name more than %d zones", maxZones)
			}
			index = uint16(len(t.zones))
			zoneIndex[b.zone] = index
			t.zones = append(t.zones, b.zone)
		}
		t.prefixes.Insert(b.prefix.Masked(), index)
	}
	return t, nil
}

// Zone returns the zone of the block with the longest prefix that contains the
// address. An IPv4-mapped IPv6 address is treated as IPv4.
func (t *Table) Zone(address netip.Addr) (ident.Zone, bool) {
	index, ok := t.prefixes.Lookup(address.Unmap())
	if !ok {
		return "", false
	}
	return t.zones[index], true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.prefixes.Size() }
