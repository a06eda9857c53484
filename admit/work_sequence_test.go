package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// workSequence applies calls in an arbitrary order, as handlers of many requests make
// them, to a controller.
type workSequence struct {
	random     *rand.Rand
	controller *Controller
	now        time.Time
	accepted   []Decision
}

// step makes one call, on a request that was accepted if there is one.
func (s *workSequence) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(40)) * time.Millisecond)
	c, calls := s.controller, s.random.IntN(10)
	if calls < 3 || len(s.accepted) == 0 {
		path := []string{"/o/1", "/a/1", "/b/1"}[s.random.IntN(3)]
		d := c.Admit(s.now, request(path, "free", time.Duration(s.random.IntN(3000))*time.Millisecond))
		if _, refused := d.Refused(); !refused {
			s.accepted = append(s.accepted, d)
		}
		return
	}
	i := s.random.IntN(len(s.accepted))
	d := &s.accepted[i]
	switch calls {
	case 3:
		*d = c.Confirm(s.now, *d)
	case 4:
		*d = c.Retry(s.now, d.State())
	case 5:
		if d.Choice().IsFound() {
			c.RecordResult(s.now, d.Choice(), spread.Unreachable, ident.None[spread.Load]())
			*d = c.RetryUnreachable(s.now, d.State())
		}
	case 6:
		if _, ok := d.Peer().Get(); ok {
			*d = c.RetryPeer(s.now, d.State())
		}
	case 7:
		c.ResponseBegun(d.State(), []ident.Option[int64]{ident.None[int64](), ident.Some(s.random.Int64N(5000))}[s.random.IntN(2)])
	case 8:
		c.ResponseSent(d.State(), s.random.Int64N(3000))
	case 9:
		c.RequestEnded(d.State(), s.random.IntN(2) == 0)
		s.accepted = append(s.accepted[:i], s.accepted[i+1:]...)
	}
}

// TestWorkInAnyOrder guards against accepted requests that stay counted after their
// end, and against sums that become negative, whatever happens to the requests before.
func TestWorkInAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		s := workSequence{random: rand.New(rand.NewPCG(seed, 1)), controller: newPeerController(t), now: start}
		s.controller.SetLinkRate(1000)
		for n := range 200 {
			switch n {
			case 80:
				s.controller.StopBy(s.now.Add(5 * time.Second))
			case 50 + int(seed%100):
				s.controller.cutOff("s")
			}
			s.step()
			w := s.controller.Work()
			if w.Requests() != len(s.accepted) || w.Bytes() < 0 || w.Begun() < 0 || w.Begun() > w.Requests() {
				t.Fatalf("seed %d, step %d: work %+v, want %d requests", seed, n, w, len(s.accepted))
			}
		}
		for _, d := range s.accepted {
			s.controller.RequestEnded(d.State(), true)
		}
		if w := s.controller.Work(); w != (Work{}) {
			t.Fatalf("seed %d: work %+v behind all requests", seed, w)
		}
	}
}
