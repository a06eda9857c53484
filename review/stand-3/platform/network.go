package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// network hands out loopback addresses that no other run uses, and the ports that
// all machines have in common.
type network struct {
	second, third int
	base          int
	next          int
}

// The ports of a machine, relative to the base.
const (
	portControl   = 0
	portDirectory = 1
	portFront     = 2
	portReady     = 3
	portServer    = 4
	portPlatform  = 5
	portInternal  = 10
	internalPorts = 16
)

// newNetwork finds a range of free ports.
func newNetwork() (*network, error) {
	for range 50 {
		n := &network{second: 20 + rand.IntN(200), third: rand.IntN(250), base: 20000 + 32*rand.IntN(300)}
		if n.isFree() {
			return n, nil
		}
	}
	return nil, errors.New("no free ports on loopback addresses")
}

// isFree reports whether nothing listens at the ports.
func (n *network) isFree() bool {
	for offset := range portInternal + internalPorts {
		l, err := net.Listen("tcp", n.at(n.address(1), offset))
		if err != nil {
			return false
		}
		if l.Close() != nil {
			return false
		}
	}
	return true
}

func (n *network) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, i)
}

// machine returns the address of the next machine.
func (n *network) machine() string {
	n.next++
	return n.address(n.next)
}

// at returns an address with a port.
func (n *network) at(address string, offset int) string {
	return net.JoinHostPort(address, strconv.Itoa(n.base+offset))
}
