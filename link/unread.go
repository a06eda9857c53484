package link

import (
	"context"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"

	"rhubarbrack/tasks"
)

// Unread is what targets have sent on connections in use that nobody has read.
type Unread struct {
	connections int
	bytes       int
	most        int
}

// Connections returns the number of connections in use.
func (u Unread) Connections() int { return u.connections }

// Bytes returns the bytes that have arrived on them and are not read.
func (u Unread) Bytes() int { return u.bytes }

// Most returns the unread bytes of the connection with the most of them.
func (u Unread) Most() int { return u.most }

// Unread returns the bytes that wait on the connections in use.
func (p *Pool) Unread(ctx context.Context) (Unread, error) {
	u, err := tasks.Ask(ctx, p.ref, func(reply tasks.Reply[Unread]) any { return getUnread{reply: reply} })
	if err != nil {
		return Unread{}, fmt.Errorf("unread bytes: %w", err)
	}
	return u, nil
}

// The messages about connections in use.
type (
	getUnread struct{ reply tasks.Reply[Unread] }
	opened    struct{ conn *Conn }
	closed    struct{ conn *Conn }
)

func (t *poolTask) markInUse(c *Conn) {
	if t.inUse == nil {
		t.inUse = map[*Conn]bool{}
	}
	t.inUse[c] = true
}

// unread returns the bytes that wait on the connections in use.
func (t *poolTask) unread() Unread {
	u := Unread{connections: len(t.inUse)}
	for c := range t.inUse {
		n := c.unreadBytes()
		u.bytes, u.most = u.bytes+n, max(u.most, n)
	}
	return u
}

// unreadBytes returns the bytes in the socket's receive buffer, or 0 if that is
// unknown, as for a connection that is being closed.
func (c *Conn) unreadBytes() int {
	source, ok := c.socket.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	var countErr error
	err = raw.Control(func(descriptor uintptr) {
		n, countErr = unix.IoctlGetInt(int(descriptor), unix.TIOCINQ)
	})
	if err != nil || countErr != nil {
		return 0
	}
	return n
}
