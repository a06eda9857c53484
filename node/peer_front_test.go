package node

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/meter"
	"rhubarbrack/relay"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
)

// refusingDialect writes refusals and nothing else.
type refusingDialect struct{ relay.Dialect }

// DecodeRequest implements relay.Dialect.
func (refusingDialect) DecodeRequest(*http.Request) admit.Request { return admit.Request{} }

// WriteRefusal implements relay.Dialect.
func (refusingDialect) WriteRefusal(w http.ResponseWriter, _ relay.Refusal) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestPeerFrontRefuses guards against a stopping host whose kept connections from
// other hosts stay in use until it closes them, perhaps with a request on the way.
func TestPeerFrontRefuses(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	system := tasks.NewSystem(log)
	defer system.Shutdown()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := relay.NewHandler(nil, nil, refusingDialect{}, noTokens{}, clock.Wall(), log, meter.New())
	front, err := relay.StartFront(t.Context(), system, listener, handler, 10, clock.Wall(), log)
	if err != nil {
		t.Fatal(err)
	}
	front.SetLimits(scheme.NewLimits(1<<16, 1<<20, time.Minute, time.Minute))
	(&peerFront{front: front, handler: handler}).refuse()
	response, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("status %d, closes %v; want a refusal that closes its connection", response.StatusCode, response.Close)
	}
}
