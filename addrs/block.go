package addrs

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrExhausted means that no block or no address is left.
const ErrExhausted = errors.ConstError("no loopback addresses left")

const (
	// minPort and portCount delimit the ports of blocks. They are below the
	// ephemeral ports of Linux and above those of common services.
	minPort   = 12000
	portCount = 8000
	// firstNetwork and networkCount delimit the second byte of the addresses.
	firstNetwork = 64
	networkCount = 128
	// maxHosts is the number of addresses of a block. The last address of its
	// network holds the reservation.
	maxHosts        = 253
	reservationHost = 254
	reserveAttempts = 100
)

// Block is a reserved network of loopback addresses with a port. It is safe for
// concurrent use.
type Block struct {
	prefix      string
	port        int
	reservation net.Listener
	last        atomic.Int64
}

// Option sets an optional property of a block.
type Option func(*Block)

// WithPort sets the port of the block, which is chosen at random otherwise.
func WithPort(port int) Option { return func(b *Block) { b.port = port } }

// Reserve reserves a block until Release is called. A listener at the port of
// the block keeps other blocks, and listeners at all addresses of the machine,
// away from it. The error matches ErrExhausted if all attempts fail.
func Reserve(options ...Option) (*Block, error) {
	var err error
	for range reserveAttempts {
		b := &Block{
			prefix: fmt.Sprintf("127.%d.%d", firstNetwork+rand.IntN(networkCount), rand.IntN(256)),
			port:   minPort + rand.IntN(portCount),
		}
		for _, apply := range options {
			apply(b)
		}
		b.reservation, err = net.Listen("tcp", fmt.Sprintf("%s.%d:%d", b.prefix, reservationHost, b.port))
		if err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("reserve addresses: %w: %w", ErrExhausted, err)
}

// Release ends the reservation.
func (b *Block) Release() error {
	if err := b.reservation.Close(); err != nil {
		return fmt.Errorf("release addresses: %w", err)
	}
	return nil
}

// IP returns the address with a number from 1 to 253, without a port.
func (b *Block) IP(number int) string { return fmt.Sprintf("%s.%d", b.prefix, number) }

// Next returns an unused address with the port of the block, or ErrExhausted.
func (b *Block) Next() (string, error) {
	n := b.last.Add(1)
	if n > maxHosts {
		return "", ErrExhausted
	}
	return fmt.Sprintf("%s:%d", b.IP(int(n)), b.port), nil
}
