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
	boundTeam = ident.Team("team")
	lifetime  = 2 * time.Second
)

func mustLimit(rate, burst float64) Limit {
	l, err := New(rate, burst)
	if err != nil {
		panic(err)
	}
	return l
}

// reference is one bucket for the whole fleet. It never goes below zero if and
// only if every window admits at most burst + rate x length.
type reference struct {
	level float64
	at    time.Time
}

func (r *reference) advance(now time.Time, l Limit) {
	r.level = min(l.burst, r.level+l.refill(now.Sub(r.at)))
	r.at = now
}

// host is a holder and what the trial knows of it. Clocks differ by a constant
// offset.
type host struct {
	holder *Holder
	limit  Limit
	offset time.Duration
	last   TokenRequest
}

// tenure is an owner and the limit that it goes by.
type tenure struct {
	*Owner
	limit Limit
}

// mode makes schedules collect tokens on several hosts and then spend them at
// once, which is when a miscount shows.
type mode uint32

const (
	mixed mode = iota
	hoarding
	spending
)

// fleet runs owners and holders over a network that loses, delays, reorders
// and duplicates messages.
type fleet struct {
	random   *rand.Rand
	mode     mode
	quiet    *host
	now      time.Time
	hosts    []*host
	owners   []*tenure
	current  Limit
	epoch    ident.Epoch
	until    time.Time
	mail     []func()
	changes  []func()
	bound    reference
	admitted int
	replaced int
	broken   string
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), current: mustLimit(20, 10)}
	f.bound = reference{level: f.current.burst, at: f.now}
	for i := range 3 {
		f.hosts = append(f.hosts, &host{limit: f.current, offset: time.Duration(i) * time.Hour})
		f.restart(f.hosts[i], ident.Host(rune('a'+i)), 1)
	}
	f.replace(false)
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
	h.holder.SetLimits(map[ident.Team]Limit{boundTeam: h.limit}, 1)
	h.holder.SetEpoch(0, f.epoch, f.at(h))
	for _, o := range f.owners {
		o.SetLive(f.live(), f.now)
	}
}

func (f *fleet) at(h *host) time.Time { return f.now.Add(h.offset) }

// replace starts the owner of the next epoch. The earlier one stops before,
// or goes on in dispute until every holder has reported to the new one.
func (f *fleet) replace(dispute bool) {
	f.settle()
	f.epoch++
	o := &tenure{Owner: NewOwner(f.epoch, lifetime, f.live()), limit: f.current}
	o.SetLimit(boundTeam, f.current, f.now)
	if !dispute {
		f.owners = nil
	}
	f.owners = append(f.owners, o)
	f.until = f.now.Add(lifetime)
	f.replaced++
}

func (f *fleet) owner() *tenure { return f.owners[len(f.owners)-1] }

// settle ends a dispute by reports of all holders.
func (f *fleet) settle() {
	if len(f.owners) < 2 {
		return
	}
	for _, h := range f.hosts {
		f.collect(f.owner(), h, "")()
	}
	f.owners = f.owners[len(f.owners)-1:]
}

// post queues a message: lost, once or twice.
func (f *fleet) post(deliver func()) {
	switch f.random.IntN(10) {
	case 0:
	case 1:
		f.mail = append(f.mail, deliver, deliver)
	default:
		f.mail = append(f.mail, deliver)
	}
}

// deliver takes messages out of the network, mostly in order. The network
// loses the oldest when it holds too many, so that late ones do not crowd out
// the rest.
func (f *fleet) deliver() {
	for range 1 + f.random.IntN(5) {
		if len(f.mail) == 0 {
			return
		}
		i := 0
		if f.random.IntN(4) == 0 {
			i = f.random.IntN(len(f.mail))
		}
		m := f.mail[i]
		f.mail = slices.Delete(f.mail, i, i+1)
		m()
		if over := len(f.mail) - 30; over > 0 {
			f.mail = f.mail[over:]
		}
	}
}

// collect returns the delivery of a call for holdings, and posts its answer.
func (f *fleet) collect(o *tenure, h *host, giveBack ident.Team) func() {
	return func() {
		round := o.ReportRound()
		if giveBack != "" {
			round = 0
		}
		if r, ok := h.holder.Holdings(0, 1, o.Epoch(), giveBack, f.at(h)); ok {
			o.ApplyHoldings(r, round, f.now)
			f.post(func() { o.ApplyHoldings(r, round, f.now) })
		}
	}
}

func (f *fleet) ask(h *host, waiting int) {
	holder := h.holder
	if f.mode == hoarding && h == f.quiet {
		return
	}
	r, ok := holder.NextRequest(boundTeam, f.at(h), waiting)
	if !ok {
		if f.random.IntN(4) == 0 {
			holder.AbandonRequest(h.last, f.at(h))
		}
		return
	}
	h.last = r
	f.post(func() {
		for _, o := range f.owners {
			if o.Epoch() != r.Epoch() {
				continue
			}
			a := o.Grant(r, f.now)
			f.post(func() { holder.HandleResponse(a, f.at(h)) })
			for _, other := range f.hosts {
				if a.Status() == Refused && other != h {
					f.post(f.collect(o, other, boundTeam))
					f.post(func() { a := o.RetryGrant(r, f.now); holder.HandleResponse(a, f.at(h)) })
				}
			}
		}
	})
}

// greatest returns the greatest rate and burst that any part goes by.
func (f *fleet) greatest() Limit {
	var l Limit
	for _, o := range f.owners {
		l = Limit{rate: max(l.rate, o.limit.rate), burst: max(l.burst, o.limit.burst)}
	}
	for _, h := range f.hosts {
		l.burst = max(l.burst, h.limit.burst)
	}
	return l
}

func (f *fleet) take(h *host, n int) {
	for range n {
		if f.takeOne(h) {
			f.admitted++
			f.bound.level--
		}
	}
	if f.bound.level < -1e-6 {
		f.broken = "rate bound exceeded"
	}
}

func (f *fleet) takeOne(h *host) bool { return h.holder.Admit(boundTeam, f.at(h), false).Admitted() }

func (f *fleet) advance(d time.Duration) {
	if len(f.owners) > 1 && !f.now.Add(d).Before(f.until) {
		f.settle()
	}
	f.now = f.now.Add(d)
	f.bound.advance(f.now, f.greatest())
}

// change sends a new limit to the owners and holders, to arrive at any time.
func (f *fleet) change() {
	if len(f.changes) > 0 {
		return
	}
	l := mustLimit(1+40*f.random.Float64(), float64(1+f.random.IntN(20)))
	f.current = l
	for _, h := range f.hosts {
		f.changes = append(f.changes, func() {
			h.limit = l
			h.holder.SetLimits(map[ident.Team]Limit{boundTeam: l}, 1)
		})
	}
	for _, o := range f.owners {
		f.changes = append(f.changes, func() {
			o.SetLimit(boundTeam, l, f.now)
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
	f.bound.advance(f.now, f.greatest())
}

func (f *fleet) step(op uint32) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch k := op % 1000; {
	case k < 20:
		f.mode = mode(op >> 16 % 3)
		f.quiet = f.hosts[f.random.IntN(len(f.hosts))]
	case f.mode == hoarding && k < 640, f.mode == mixed && k < 350:
		f.ask(h, f.random.IntN(10))
	case f.mode != hoarding && k < 650:
		f.take(h, 1+int(op>>16)%4)
	case k < 850:
		f.deliver()
	case f.mode == spending && k < 910:
		f.deliver()
	case k < 940:
		f.advance(time.Duration(op>>16%100) * time.Millisecond)
	case k < 950:
		f.advance(lifetime / 2)
	case k < 982:
		f.post(f.collect(f.owner(), h, ""))
	case k < 984:
		f.restart(h, h.holder.ID().Host(), h.holder.ID().Incarnation()+1)
	case k < 988:
		f.change()
	case k < 997:
		f.applyChange()
	default:
		f.replace(op>>16%2 == 0)
	}
	f.check()
}

// check compares level and unspent grants with the burst. After a burst was
// lowered the grants may exceed it for a while; nothing is granted then.
func (f *fleet) check() {
	for _, o := range f.owners {
		level, unspent := o.Level(boundTeam, f.now)
		if level > max(0, o.limit.burst-float64(unspent))+1e-6 || unspent < 0 {
			f.broken = "level + unspent grants above the burst"
		}
	}
}

// Guards against any schedule of faults by which all hosts together admit more
// than burst + rate x length in some window.
func TestRateBound(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(boundSeed)
	p.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(p)
	admitted, replaced := 0, 0
	properties.Property("no window exceeds the bound", prop.ForAll(func(seed uint64, steps int) string {
		f := newFleet(seed)
		for i := range steps {
			if f.step(f.random.Uint32()); f.broken != "" {
				return fmt.Sprintf("%s after step %d", f.broken, i)
			}
		}
		admitted += f.admitted
		replaced += f.replaced
		return ""
	}, gen.UInt64(), gen.IntRange(500, 3000)))
	properties.TestingRun(t)
	t.Logf("seed %d: %d requests admitted, %d owners", boundSeed, admitted, replaced)
	if admitted < 10000 || replaced < 1000 {
		t.Errorf("schedules admit too little to mean anything: %d requests, %d owners", admitted, replaced)
	}
}
