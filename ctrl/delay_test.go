package ctrl

import (
	"net"
	"sync/atomic"
	"time"
)

// delayed is a listener whose connections deliver what they receive after a
// delay, as a link between regions does. While it is cut, they lose data
// without a sign to either side; what has lost data stays silent.
type delayed struct {
	net.Listener
	delay time.Duration
	cut   *atomic.Bool
}

func (d delayed) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil || d.delay == 0 && d.cut == nil {
		return c, err
	}
	in := &delayedConn{Conn: c, parcels: make(chan parcel, 4096)}
	out := &delayedConn{Conn: c, parcels: make(chan parcel, 4096)}
	go in.receive(d.delay, d.cut)
	go out.transmit()
	return &link{Conn: c, in: in, out: out, delay: d.delay}, nil
}

// link delays both directions of a connection.
type link struct {
	net.Conn
	in, out *delayedConn
	delay   time.Duration
}

func (l *link) Read(p []byte) (int, error) { return l.in.Read(p) }

func (l *link) Write(p []byte) (int, error) {
	l.out.parcels <- parcel{data: append([]byte(nil), p...), due: time.Now().Add(l.delay)}
	return len(p), nil
}

// parcel is data under way.
type parcel struct {
	data []byte
	due  time.Time
	err  error
}

type delayedConn struct {
	net.Conn
	parcels chan parcel
	rest    parcel
}

// receive reads until the connection ends.
func (c *delayedConn) receive(delay time.Duration, cut *atomic.Bool) {
	silent := false
	for {
		buffer := make([]byte, 64<<10)
		n, err := c.Conn.Read(buffer)
		silent = silent || cut != nil && cut.Load()
		if silent && err == nil {
			continue
		}
		c.parcels <- parcel{data: buffer[:n], due: time.Now().Add(delay), err: err}
		if err != nil {
			return
		}
	}
}

// transmit writes what is due until the connection ends.
func (c *delayedConn) transmit() {
	for p := range c.parcels {
		<-time.After(time.Until(p.due))
		if _, err := c.Write(p.data); err != nil {
			return
		}
	}
}

func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.rest.data) == 0 && c.rest.err == nil {
		c.rest = <-c.parcels
		<-time.After(time.Until(c.rest.due))
	}
	n := copy(p, c.rest.data)
	c.rest.data = c.rest.data[n:]
	if n == 0 {
		return 0, c.rest.err
	}
	return n, nil
}
