package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
)

const (
	boundSeed = 20260731
	testTeam  = ident.Team("team")
	lifetime  = 2 * time.Second
)

func mustLimit(rate, burst float64) Limit {
	l, err := New(rate, burst)
	if err != nil {
		panic(err)
	}
	return l
}

// referenceBucket is one token bucket for the whole fleet. Its level never goes
// below zero if and only if every window admits at most burst + rate x length
// requests.
type referenceBucket struct {
	level float64
	at    time.Time
}

func (r *referenceBucket) advance(now time.Time, l Limit) {
	r.level = min(l.burst, r.level+l.refill(now.Sub(r.at)))
	r.at = now
}

// host is a holder, the limit that it applies and the offset of its clock.
type host struct {
	holder      *Holder
	limit       Limit
	offset      time.Duration
	lastRequest TokenRequest
}

// ownerState is an owner and the limit that it applies.
type ownerState struct {
	*Owner
	limit Limit
}

// mode makes schedules collect tokens on several hosts and then spend them at
// once, which exposes tokens that were counted wrongly.
type mode uint32

const (
	mixed mode = iota
	collecting
	spending
)

// fleet runs owners and holders over a network that may lose, delay, reorder
// and duplicate messages.
type fleet struct {
	random        *rand.Rand
	mode          mode
	idleHost      *host
	now           time.Time
	hosts         []*host
	owners        []*ownerState
	current       Limit
	epoch         ident.Epoch
	overlapEnd    time.Time
	messages      []func()
	changes       []func()
	reference     referenceBucket
	admitted      int
	ownersStarted int
	violation     string
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), current: mustLimit(20, 10)}
	f.reference = referenceBucket{level: f.current.burst, at: f.now}
	for i := range 3 {
		f.hosts = append(f.hosts, &host{limit: f.current, offset: time.Duration(i) * time.Hour})
		f.restart(f.hosts[i], ident.Host(rune('a'+i)), 1)
	}
	f.replaceOwner(false)
	return f
}

func (f *fleet) live() []HolderID {
	var list []HolderID
	for _, h := range f.hosts {
		list = append(list, h.holder.ID())
	}
	return list
}

func (f *fleet) restart(h *host, name ident.Host, i ident.Incarnation) {
	h.holder = NewHolder(NewHolderID(name, i), WithLifetime(lifetime))
	h.holder.SetLimits(map[ident.Team]Limit{testTeam: h.limit}, 1)
	h.holder.SetEpoch(0, f.epoch, f.hostTime(h))
	for _, o := range f.owners {
		o.SetLive(f.live(), f.now)
	}
}

func (f *fleet) hostTime(h *host) time.Time { return f.now.Add(h.offset) }

// replaceOwner starts the owner of the next epoch. The earlier owner has
// stopped, or with overlap continues until every holder has reported to the new
// one.
func (f *fleet) replaceOwner(overlap bool) {
	f.endOverlap()
	f.epoch++
	o := &ownerState{Owner: NewOwner(f.epoch, lifetime, f.live()), limit: f.current}
	o.SetLimit(testTeam, f.current, f.now)
	if !overlap {
		f.owners = nil
	}
	f.owners = append(f.owners, o)
	f.overlapEnd = f.now.Add(lifetime)
	f.ownersStarted++
}

func (f *fleet) owner() *ownerState { return f.owners[len(f.owners)-1] }

// endOverlap delivers the reports of all holders to the new owner and stops the
// earlier ones.
func (f *fleet) endOverlap() {
	if len(f.owners) < 2 {
		return
	}
	for _, h := range f.hosts {
		f.collectHoldings(f.owner(), h, "")()
	}
	f.owners = f.owners[len(f.owners)-1:]
}

// send puts a message into the network never, once or twice.
func (f *fleet) send(deliver func()) {
	switch f.random.IntN(10) {
	case 0:
	case 1:
		f.messages = append(f.messages, deliver, deliver)
	default:
		f.messages = append(f.messages, deliver)
	}
}

// deliver delivers messages of the network, mostly in order. The oldest are
// lost when the network holds more than 30, so that late ones do not keep the
// others from being delivered.
func (f *fleet) deliver() {
	for range 1 + f.random.IntN(5) {
		if len(f.messages) == 0 {
			return
		}
		i := 0
		if f.random.IntN(4) == 0 {
			i = f.random.IntN(len(f.messages))
		}
		m := f.messages[i]
		f.messages = slices.Delete(f.messages, i, i+1)
		m()
		if over := len(f.messages) - 30; over > 0 {
			f.messages = f.messages[over:]
		}
	}
}

// collectHoldings returns the delivery of a call for holdings, which sends the
// response.
func (f *fleet) collectHoldings(o *ownerState, h *host, recalled ident.Team) func() {
	return func() {
		round := o.ReportRound()
		if recalled != "" {
			round = 0
		}
		if r, ok := h.holder.Holdings(0, 1, o.Epoch(), recalled, f.hostTime(h)); ok {
			o.ApplyHoldings(r, round, f.now)
			f.send(func() { o.ApplyHoldings(r, round, f.now) })
		}
	}
}

func (f *fleet) requestTokens(h *host, waiting int) {
	holder := h.holder
	if f.mode == collecting && h == f.idleHost {
		return
	}
	r, ok := holder.NextRequest(testTeam, f.hostTime(h), waiting)
	if !ok {
		if f.random.IntN(4) == 0 {
			holder.AbandonRequest(h.lastRequest, f.hostTime(h))
		}
		return
	}
	h.lastRequest = r
	f.send(func() {
		for _, o := range f.owners {
			if o.Epoch() != r.Epoch() {
				continue
			}
			response := o.Grant(r, f.now)
			f.send(func() { holder.HandleResponse(response, f.hostTime(h)) })
			for _, other := range f.hosts {
				if response.Status() == Refused && other != h {
					f.send(f.collectHoldings(o, other, testTeam))
					f.send(func() { response := o.RetryGrant(r, f.now); holder.HandleResponse(response, f.hostTime(h)) })
				}
			}
		}
	})
}

// greatestLimit returns the greatest rate and burst that any owner or holder
// applies.
func (f *fleet) greatestLimit() Limit {
	var l Limit
	for _, o := range f.owners {
		l = Limit{rate: max(l.rate, o.limit.rate), burst: max(l.burst, o.limit.burst)}
	}
	for _, h := range f.hosts {
		l.burst = max(l.burst, h.limit.burst)
	}
	return l
}

// admit makes n requests at a host and checks the bound.
func (f *fleet) admit(h *host, n int) {
	for range n {
		if f.admitOne(h) {
			f.admitted++
			f.reference.level--
		}
	}
	if f.reference.level < -1e-6 {
		f.violation = "rate bound exceeded"
	}
}

func (f *fleet) admitOne(h *host) bool {
	return h.holder.Admit(testTeam, f.hostTime(h), false).Admitted()
}

func (f *fleet) advance(d time.Duration) {
	if len(f.owners) > 1 && !f.now.Add(d).Before(f.overlapEnd) {
		f.endOverlap()
	}
	f.now = f.now.Add(d)
	f.reference.advance(f.now, f.greatestLimit())
}

// change sends a new limit to the owners and holders, each of which applies it
// at a random time.
func (f *fleet) change() {
	if len(f.changes) > 0 {
		return
	}
	l := mustLimit(1+40*f.random.Float64(), float64(1+f.random.IntN(20)))
	f.current = l
	for _, h := range f.hosts {
		f.changes = append(f.changes, func() {
			h.limit = l
			h.holder.SetLimits(map[ident.Team]Limit{testTeam: l}, 1)
		})
	}
	for _, o := range f.owners {
		f.changes = append(f.changes, func() {
			o.SetLimit(testTeam, l, f.now)
			o.limit = l
		})
	}
}

func (f *fleet) applyChange() {
	if len(f.changes) == 0 {
		return
	}
	i := f.random.IntN(len(f.changes))
	c := f.changes[i]
	f.changes = append(f.changes[:i], f.changes[i+1:]...)
	c()
	f.reference.advance(f.now, f.greatestLimit())
}

func (f *fleet) step(op uint32) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch k := op % 1000; {
	case k < 20:
		f.mode = mode(op >> 16 % 3)
		f.idleHost = f.hosts[f.random.IntN(len(f.hosts))]
	case f.mode == collecting && k < 640, f.mode == mixed && k < 350:
		f.requestTokens(h, f.random.IntN(10))
	case f.mode != collecting && k < 650:
		f.admit(h, 1+int(op>>16)%4)
	case k < 850:
		f.deliver()
	case f.mode == spending && k < 910:
		f.deliver()
	case k < 940:
		f.advance(time.Duration(op>>16%100) * time.Millisecond)
	case k < 950:
		f.advance(lifetime / 2)
	case k < 982:
		f.send(f.collectHoldings(f.owner(), h, ""))
	case k < 984:
		f.restart(h, h.holder.ID().Host(), h.holder.ID().Incarnation()+1)
	case k < 988:
		f.change()
	case k < 997:
		f.applyChange()
	default:
		f.replaceOwner(op>>16%2 == 0)
	}
	f.check()
}

// check compares the level and the unspent grants with the burst. After the
// burst was lowered, the grants may exceed it for a while; nothing is granted
// then.
func (f *fleet) check() {
	for _, o := range f.owners {
		level, unspent := o.Level(testTeam, f.now)
		if level > max(0, o.limit.burst-float64(unspent))+1e-6 || unspent < 0 {
			f.violation = "level + unspent grants above the burst"
		}
	}
}

// Guards against admitting more than burst + rate x length requests on all
// hosts together in any window, whatever faults occur.
func TestRateBound(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(boundSeed)
	p.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(p)
	admitted, replaced := 0, 0
	properties.Property("no window exceeds the bound", prop.ForAll(func(seed uint64, steps int) string {
		f := newFleet(seed)
		for i := range steps {
			if f.step(f.random.Uint32()); f.violation != "" {
				return fmt.Sprintf("%s after step %d", f.violation, i)
			}
		}
		admitted += f.admitted
		replaced += f.ownersStarted
		return ""
	}, gen.UInt64(), gen.IntRange(500, 3000)))
	properties.TestingRun(t)
	t.Logf("seed %d: %d requests admitted, %d owners", boundSeed, admitted, replaced)
	if admitted < 10000 || replaced < 1000 {
		t.Errorf("schedules admit too little to mean anything: %d requests, %d owners", admitted, replaced)
	}
}
