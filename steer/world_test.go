package steer

import (
	"fmt"
	"maps"
	"math/rand"
	"time"

	"rhubarbrack/ident"
)

// world is a region with its slot owner, three holders and a network that
// loses, repeats, delays and reorders every message. It knows which requests
// really run, which the pool can only infer.
type world struct {
	random   *rand.Rand
	now      time.Time
	pool     *Pool
	epoch    int
	capacity int
	listed   []Target
	leaving  map[ident.Target]bool
	slots    map[ident.Target]int
	holders  []*holderModel
	// lapsing are processes that are cut off for good while their requests
	// run on.
	lapsing []*holderModel
	asks    map[SlotRequestID]SlotRequest
	// repeated holds the asks that were granted before. A repeated call gets
	// the answer again.
	repeated map[SlotRequestID]bool
	network  []any
	// loss is the share of lost messages, in twentieths; churn is the share
	// of steps that replace the owner, in thousandths.
	loss  int
	churn int
	fault string
}

// holderModel follows the rules of the slot client of package entry.
type holderModel struct {
	id       Holder
	last     uint64
	sequence uint64
	fence    int
	open     map[uint64]ident.Target
	waiting  map[uint64]SlotRequest
	// cut keeps all messages of the holder from the owner, and arrived holds
	// the arrival of its requests, which their timeout counts from.
	cut     bool
	arrived map[uint64]time.Time
}

// Messages in the network. The epoch names the owner that sent a decision,
// or that a report is for.
type (
	askMessage      struct{ ask SlotRequest }
	decisionMessage struct {
		epoch    int
		decision Decision
	}
	releaseMessage struct {
		id     SlotRequestID
		result Result
	}
	reportMessage struct {
		epoch    int
		holdings Holdings
	}
	lapseMessage struct{ holder Holder }
)

var worldServices = []ident.Service{"catalogue", "deposits"}

// worldTimeouts bounds the requests of the services. Within them, most
// requests end by themselves.
var worldTimeouts = map[ident.Service]time.Duration{"catalogue": 100 * time.Millisecond, "deposits": 300 * time.Millisecond}

func newWorld(seed int64) *world {
	w := &world{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0),
		leaving: map[ident.Target]bool{}, slots: map[ident.Target]int{}, asks: map[SlotRequestID]SlotRequest{}, repeated: map[SlotRequestID]bool{},
	}
	// Without a bound on the region, services open one by one.
	w.capacity = 8 * w.random.Intn(2)
	w.loss, w.churn = w.random.Intn(4), w.random.Intn(12)
	for i := range 6 {
		id := ident.Target(fmt.Sprintf("t%d", i))
		w.slots[id] = 1 + w.random.Intn(5)
		w.listed = append(w.listed, NewTarget(id, worldServices[i%2], "", "z1", w.slots[id], StateLive))
	}
	for i := range 3 {
		w.holders = append(w.holders, newHolderModel(ident.Host(fmt.Sprintf("h%d", i)), 1))
	}
	w.replaceOwner()
	return w
}

func newHolderModel(h ident.Host, i ident.Incarnation) *holderModel {
	return &holderModel{id: NewHolder(h, i), open: map[uint64]ident.Target{}, waiting: map[uint64]SlotRequest{}, arrived: map[uint64]time.Time{}}
}

// replaceOwner starts a new pool that knows nothing of the grants in use.
func (w *world) replaceOwner() {
	w.epoch++
	w.lapsing = nil
	w.pool = New("r1", WithEjection(50*time.Millisecond), WithTakeOver(w.now))
	w.pool.SetServices(w.now, []Service{
		NewService(worldServices[0], 0.2, 100*time.Millisecond, WithTimeout(worldTimeouts[worldServices[0]])),
		NewService(worldServices[1], 0, time.Second, WithTimeout(worldTimeouts[worldServices[1]])),
	})
	w.pool.SetCapacity(w.now, w.capacity)
	w.pool.SetTargets(w.now, w.listed)
	var expected []Holder
	for _, h := range w.holders {
		expected = append(expected, h.id)
	}
	w.pool.ExpectHolders(expected)
	w.decide(w.pool.TryOpen(w.now))
}

// decide sends decisions to the holders and checks each grant.
func (w *world) decide(list []Decision) {
	for _, d := range list {
		if g, ok := d.(Granted); ok && w.leaving[g.target] {
			w.fail("grant at leaving target %s", g.target)
		}
		if g, ok := d.(Granted); ok {
			w.checkUrgentFirst(g)
		}
		w.send(decisionMessage{epoch: w.epoch, decision: d})
	}
}

// checkUrgentFirst finds grants to ordinary asks while an urgent ask waits
// that could use the same target. Decisions of one call are made together, so
// an urgent ask that waits after the call did so during it.
func (w *world) checkUrgentFirst(g Granted) {
	h := w.pool.holders[g.id.holder]
	granted := w.asks[g.id]
	if granted.class.urgent || w.repeated[g.id] || h == nil || h.grants[g.id.number] == nil {
		return
	}
	w.repeated[g.id] = true
	for _, q := range w.pool.expiries {
		if q.ask.class.urgent && q.ask.service == granted.service && len(q.ask.avoid) == 0 {
			w.fail("ordinary ask granted while an urgent one waits")
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// send puts a message into the network: usually once, at times never or
// twice.
func (w *world) send(m any) {
	copies := 1
	switch r := w.random.Intn(20); {
	case r < w.loss:
		copies = 0
	case r < w.loss+2:
		copies = 2
	}
	for range copies {
		w.network = append(w.network, m)
	}
}

// deliver hands over a random message of the network.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	at := w.random.Intn(len(w.network))
	m := w.network[at]
	w.network = append(w.network[:at], w.network[at+1:]...)
	if w.isCut(m) {
		return
	}
	switch m := m.(type) {
	case askMessage:
		if d := w.pool.Acquire(w.now, m.ask); d != (Queued{id: m.ask.id}) {
			w.decide([]Decision{d})
		}
	case decisionMessage:
		w.receive(m)
	case releaseMessage:
		w.decide(w.pool.Release(w.now, m.id, m.result))
	case reportMessage:
		if m.epoch == w.epoch {
			w.decide(w.pool.ApplyHoldings(w.now, m.holdings))
			w.decide(w.pool.TryOpen(w.now))
		}
	case lapseMessage:
		w.decide(w.pool.ExpireProcess(w.now, m.holder.host, m.holder.incarnation))
		w.decide(w.pool.TryOpen(w.now))
	}
}

// isCut reports whether a message is from or to a holder that is cut off.
func (w *world) isCut(m any) bool {
	var id Holder
	switch m := m.(type) {
	case askMessage:
		id = m.ask.id.holder
	case decisionMessage:
		id = m.decision.ID().holder
	case releaseMessage:
		id = m.id.holder
	case reportMessage:
		id = m.holdings.holder
	}
	for _, h := range w.holders {
		if h.id == id {
			return h.cut
		}
	}
	return false
}

// receive lets a holder start its request, unless its ask is gone or the
// grant comes from an owner before the one that it has reported to.
func (w *world) receive(m decisionMessage) {
	for _, h := range w.holders {
		n := m.decision.ID().number
		if _, waits := h.waiting[n]; h.id != m.decision.ID().holder || !waits || m.epoch < h.fence {
			continue
		}
		switch d := m.decision.(type) {
		case Granted:
			delete(h.waiting, n)
			h.open[n] = d.target
		case Refused:
			delete(h.waiting, n)
		}
	}
}

func (w *world) ask(h *holderModel) {
	h.last++
	i := w.random.Intn(2)
	class := NewClass("reads", false, 6, 0)
	if w.random.Intn(4) == 0 {
		class = NewClass("alerts", true, 6, 0)
	}
	var avoid []ident.Target
	if w.random.Intn(5) == 0 {
		avoid = []ident.Target{w.listed[w.random.Intn(len(w.listed))].id}
	}
	deadline := w.now.Add(time.Duration(1+w.random.Intn(200)) * time.Millisecond)
	a := NewSlotRequest(NewSlotRequestID(h.id, h.last), worldServices[i], ident.Team(fmt.Sprintf("team%d", w.random.Intn(3))),
		class, deadline, WithAvoid(avoid...), WithZone("z1"))
	h.waiting[h.last], h.arrived[h.last] = a, w.now
	w.asks[a.id] = a
	w.send(askMessage{ask: a})
}

// end lets a random request of the holder end, or its caller give up.
func (w *world) end(h *holderModel) {
	endings := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeTimeout, OutcomeCrashed, OutcomeShed, OutcomeCancelled}
	for n := range h.last + 1 {
		_, open := h.open[n]
		_, waits := h.waiting[n]
		if (open || waits) && w.random.Intn(3) == 0 {
			delete(h.open, n)
			delete(h.waiting, n)
			result := NewResult(endings[w.random.Intn(len(endings))], time.Millisecond)
			w.send(releaseMessage{id: NewSlotRequestID(h.id, n), result: result})
			return
		}
	}
}

// pass lets time pass, and ends the requests that reach their timeout. The
// owner learns of it from reports and releases only.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, h := range append(w.lapsing, w.holders...) {
		for n, at := range h.arrived {
			if w.now.Sub(at) >= worldTimeouts[w.asks[NewSlotRequestID(h.id, n)].service] {
				delete(h.open, n)
				delete(h.waiting, n)
				delete(h.arrived, n)
			}
		}
	}
}

func (w *world) report(h *holderModel) {
	h.sequence++
	h.fence = w.epoch
	var open []OpenGrant
	var waiting []uint64
	for n := range h.last + 1 {
		if t, ok := h.open[n]; ok {
			open = append(open, NewOpenGrant(n, "", t, ident.Fingerprint{}, 0))
		}
		if _, ok := h.waiting[n]; ok {
			waiting = append(waiting, n)
		}
	}
	w.send(reportMessage{epoch: w.epoch, holdings: NewHoldings(h.id, h.sequence, h.last, open, waiting)})
}

// restart ends a holder's process with all its requests, or cuts it off for
// good while they run on. The owner learns of it later.
func (w *world) restart(i int) {
	old := w.holders[i].id
	if known := w.pool.holders[old]; known != nil && w.random.Intn(2) == 0 {
		// A pool does not wait for requests of a lapsed process that no
		// report has named to it.
		maps.DeleteFunc(w.holders[i].open, func(n uint64, _ ident.Target) bool { return known.grants[n] == nil })
		w.lapsing = append(w.lapsing, w.holders[i])
	}
	w.holders[i] = newHolderModel(old.host, old.incarnation+1)
	w.network = append(w.network, lapseMessage{holder: old})
}

// relist toggles whether a target leaves, by one of three sources.
func (w *world) relist() {
	i := w.random.Intn(len(w.listed))
	t := w.listed[i]
	state := StateLive
	if w.leaving[t.id] = !w.leaving[t.id]; w.leaving[t.id] {
		state = StateLeaving
	}
	w.listed[i] = NewTarget(t.id, t.service, "", "z1", t.slots, state, WithColdSince(w.now))
	w.decide(w.pool.SetTargets(w.now, w.listed))
}

// observe passes on a report that misleads as often as not.
func (w *world) observe() {
	t := w.listed[w.random.Intn(len(w.listed))]
	at := w.now.Add(-time.Duration(w.random.Intn(5000)) * time.Millisecond)
	r := NewProbeReport(t.id, at, w.random.Intn(2) == 0, w.random.Float64()*1.5, false)
	w.decide(w.pool.Observe(w.now, r))
}

// step makes one random event happen and checks the world.
func (w *world) step() {
	h := w.holders[w.random.Intn(len(w.holders))]
	switch r := w.random.Intn(1000); {
	case r < w.churn:
		w.replaceOwner()
	case r < 300:
		w.ask(h)
	case r < 380:
		w.end(h)
	case r < 870:
		w.deliver()
	case r < 930:
		w.report(h)
	case r < 970:
		w.pass(time.Duration(w.random.Intn(30)) * time.Millisecond)
		if w.random.Intn(2) == 0 {
			w.decide(w.pool.Tick(w.now))
		}
	case r < 985:
		w.observe()
	case r < 993:
		w.relist()
	case r < 997:
		h.cut = !h.cut
	default:
		w.restart(w.random.Intn(len(w.holders)))
	}
	w.check()
}

// check compares the requests that really run with the bounds.
func (w *world) check() {
	running := map[ident.Target]int{}
	total := 0
	for _, h := range append(w.lapsing, w.holders...) {
		for _, t := range h.open {
			running[t]++
			total++
		}
	}
	if w.capacity > 0 && total > w.capacity {
		w.fail("%d requests run, capacity is %d", total, w.capacity)
	}
	for t, n := range running {
		if n > w.slots[t] {
			w.fail("%d requests run at %s, which has %d slots", n, t, w.slots[t])
		}
	}
}

// settle ends all requests, delivers reports, lets the timeouts pass and
// checks that nothing remains.
func (w *world) settle() {
	w.network = nil
	w.pass(2 * time.Second)
	for _, h := range w.holders {
		clear(h.open)
		clear(h.waiting)
		w.decide(w.pool.ExpireProcess(w.now, h.id.host, h.id.incarnation-1))
		w.decide(w.pool.ApplyHoldings(w.now, NewHoldings(h.id, h.sequence+1, h.last, nil, nil)))
	}
	w.decide(w.pool.TryOpen(w.now))
	if n, q := w.pool.InFlight(), w.pool.Waiting(); n != 0 || q != 0 || !w.pool.IsOpen() {
		w.fail("%d slots and %d asks leaked, open = %t", n, q, w.pool.IsOpen())
	}
	for t := range w.slots {
		if n := w.pool.TargetInFlight(t); n != 0 {
			w.fail("%d slots of %s leaked", n, t)
		}
	}
}
