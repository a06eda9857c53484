package ctrl

import (
	"net"
	"sync/atomic"
	"time"
)

// delayedListener is a listener whose connections delay data in both directions,
// like a link between regions. While cut is set, they silently drop received
// data. A connection that has dropped data delivers nothing any more.
type delayedListener struct {
	net.Listener
	delay time.Duration
	cut   *atomic.Bool
}

func (d delayedListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil || d.delay == 0 && d.cut == nil {
		return c, err
	}
	in := &delayedConn{Conn: c, packets: make(chan packet, 4096)}
	out := &delayedConn{Conn: c, packets: make(chan packet, 4096)}
	go in.receive(d.delay, d.cut)
	go out.transmit()
	return &delayedLink{Conn: c, in: in, out: out, delay: d.delay}, nil
}

// delayedLink delays both directions of a connection.
type delayedLink struct {
	net.Conn
	in, out *delayedConn
	delay   time.Duration
}

func (l *delayedLink) Read(p []byte) (int, error) { return l.in.Read(p) }

func (l *delayedLink) Write(p []byte) (int, error) {
	l.out.packets <- packet{data: append([]byte(nil), p...), due: time.Now().Add(l.delay)}
	return len(p), nil
}

// packet is data in flight, due for delivery at a given time.
type packet struct {
	data []byte
	due  time.Time
	err  error
}

// delayedConn is one direction of a delayedLink: the packets in flight, and the
// rest of the packet that is being read.
type delayedConn struct {
	net.Conn
	packets chan packet
	unread  packet
}

// receive reads packets until the connection ends.
func (c *delayedConn) receive(delay time.Duration, cut *atomic.Bool) {
	silent := false
	for {
		buffer := make([]byte, 64<<10)
		n, err := c.Conn.Read(buffer)
		silent = silent || cut != nil && cut.Load()
		if silent && err == nil {
			continue
		}
		c.packets <- packet{data: buffer[:n], due: time.Now().Add(delay), err: err}
		if err != nil {
			return
		}
	}
}

// transmit writes packets when they are due until the connection ends.
func (c *delayedConn) transmit() {
	for p := range c.packets {
		<-time.After(time.Until(p.due))
		if _, err := c.Write(p.data); err != nil {
			return
		}
	}
}

func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.unread.data) == 0 && c.unread.err == nil {
		c.unread = <-c.packets
		<-time.After(time.Until(c.unread.due))
	}
	n := copy(p, c.unread.data)
	c.unread.data = c.unread.data[n:]
	if n == 0 {
		return 0, c.unread.err
	}
	return n, nil
}
