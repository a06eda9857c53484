package relay

import (
	"errors"
	"net"
	"testing"
)

// TestQueuedConnectionsBeforeClose guards against a connection that stays in the
// queue of a server whose limits are replaced: it would never be served nor
// closed, and a shutdown would wait for it.
func TestQueuedConnectionsBeforeClose(t *testing.T) {
	const rounds = 200000
	for range rounds {
		l := newConnListener(nil)
		accepted := make(chan int)
		go func() {
			n := 0
			for {
				if _, err := l.Accept(); errors.Is(err, net.ErrClosed) {
					accepted <- n
					return
				}
				n++
			}
		}()
		for range 2 {
			if !l.enqueue(nil) {
				t.Fatal("the queue is full")
			}
		}
		_ = l.Close()
		if n := <-accepted; n != 2 {
			t.Fatalf("%d of 2 queued connections were accepted", n)
		}
	}
}
