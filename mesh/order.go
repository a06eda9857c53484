package mesh

import (
	"fmt"
	"math/rand/v2"

	"rhubarbrack/board"
	"rhubarbrack/ident"
)

// receive assigns an ID to an order of an operator and logs it. The attributes
// describe the order. Its command carries the origin, so that every control host
// logs for which order it was proposed.
func (c *Control) receive(kind string, attributes ...any) board.Origin {
	origin := board.NewOrigin(ident.RequestID(fmt.Sprintf("%016x", rand.Uint64())), c.host, c.clock.Now())
	c.log.Info("mesh: order received", append([]any{"order", origin.Order(), "kind", kind}, attributes...)...)
	return origin
}

// logEnd logs the outcome of an order. After an error the command may still be
// applied.
func (c *Control) logEnd(origin board.Origin, err error) {
	took := c.clock.Now().Sub(origin.ReceivedAt()).Milliseconds()
	if err != nil {
		c.log.Warn("mesh: order not acknowledged", "order", origin.Order(), "took-ms", took, "error", err)
		return
	}
	c.log.Info("mesh: order acknowledged", "order", origin.Order(), "took-ms", took)
}
