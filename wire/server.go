package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
)

// Serve serves calls on the listener until ctx ends, then closes the listener
// and all connections. The returned channel is closed when all connections
// have ended.
func Serve(ctx context.Context, listener net.Listener, server *rpc.Server, list ...Option) <-chan struct{} {
	o := newOptions(list)
	if o.security != nil {
		listener = tls.NewListener(listener, o.security)
	}
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		defer close(done)
		var open sync.WaitGroup
		defer open.Wait()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Go(func() { serveConn(ctx, conn, server, o) })
		}
	}()
	return done
}

func serveConn(ctx context.Context, conn net.Conn, server *rpc.Server, o options) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	server.ServeCodec(newServerCodec(conn, o.maxMessageBytes, o.maxServerCalls))
}
