package locate

import (
	"fmt"
	"net/netip"

	"github.com/gaissmai/bart"

	"rhubarbrack/ident"
)

// Block is a range of client addresses and the zone nearest to it.
type Block struct {
	prefix netip.Prefix
	zone   ident.Zone
}

// NewBlock returns a block.
func NewBlock(prefix netip.Prefix, zone ident.Zone) Block {
	return Block{prefix: prefix, zone: zone}
}

// Table finds the zone of a client address. It is immutable and safe for
// concurrent use.
type Table struct {
	tree  *bart.Table[uint16]
	zones []ident.Zone
}

// maxZones is the number of zones that an entry of the table can name.
const maxZones = 1 << 16

// NewTable builds a table. It returns an error for an invalid prefix and for
// more than 65,536 zones. When blocks repeat, the last one counts.
func NewTable(blocks []Block) (*Table, error) {
	t := &Table{tree: new(bart.Table[uint16])}
	numbers := make(map[ident.Zone]uint16)
	for _, b := range blocks {
		if !b.prefix.IsValid() {
			return nil, fmt.Errorf("client block of zone %s: invalid prefix", b.zone)
		}
		n, ok := numbers[b.zone]
		if !ok {
			if len(t.zones) == maxZones {
				return nil, fmt.Errorf("client blocks name more than %d zones", maxZones)
			}
			n = uint16(len(t.zones))
			numbers[b.zone] = n
			t.zones = append(t.zones, b.zone)
		}
		t.tree.Insert(b.prefix.Masked(), n)
	}
	return t, nil
}

// Zone returns the zone of the longest block that holds the address. An IPv4
// address in IPv6 form is treated as IPv4.
func (t *Table) Zone(address netip.Addr) (ident.Zone, bool) {
	n, ok := t.tree.Lookup(address.Unmap())
	if !ok {
		return "", false
	}
	return t.zones[n], true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.tree.Size() }
