package board

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ident"
)

// Order is the command to begin or end the evacuation of a zone.
type Order struct {
	zone   ident.Zone
	begin  bool
	origin Origin
}

// DecodeOrder returns the order that a command stands for, and false for other
// commands.
func DecodeOrder(data []byte) (Order, bool, error) {
	var command commandRecord
	if err := msgpack.Unmarshal(data, &command); err != nil {
		return Order{}, false, fmt.Errorf("decode command: %w", err)
	}
	order := Order{zone: ident.Zone(command.Zone), begin: command.Begin, origin: command.origin()}
	return order, command.Zone != "", nil
}

// Zone returns the zone.
func (o Order) Zone() ident.Zone { return o.zone }

// Begin reports whether the evacuation begins.
func (o Order) Begin() bool { return o.begin }

// Origin returns where the order came from.
func (o Order) Origin() Origin { return o.origin }
