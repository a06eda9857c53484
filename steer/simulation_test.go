package steer

import (
	"fmt"
	"maps"
	"math/rand"
	"time"

	"rhubarbrack/ident"
)

// simulation is a region with its slot owner, three holders and a network that
// may lose, duplicate, delay and reorder every message. It tracks which
// requests really run, while the pool can only infer it.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	pool     *Pool
	epoch    int
	capacity int
	listed   []Target
	leaving  map[ident.Target]bool
	slots    map[ident.Target]int
	holders  []*holderModel
	// orphaned are processes that are partitioned permanently while their
	// requests still run.
	orphaned []*holderModel
	requests map[SlotRequestID]SlotRequest
	// granted holds the slot requests that were granted before. A retried call
	// gets the same decision.
	granted map[SlotRequestID]bool
	network []any
	// lossRate is the share of lost messages, in twentieths, and
	// ownerReplaceRate the share of steps that replace the owner, in
	// thousandths.
	lossRate         int
	ownerReplaceRate int
	fault            string
}

// holderModel models the slot client of package entry.
type holderModel struct {
	id         Holder
	lastNumber uint64
	sequence   uint64
	fence      int
	open       map[uint64]ident.Target
	waiting    map[uint64]SlotRequest
	// partitioned is set while no message passes between the holder and the
	// owner. arrived holds the arrival times of the requests, from which their
	// timeout counts.
	partitioned bool
	arrived     map[uint64]time.Time
}

// Messages in the network. The epoch identifies the owner that sent a
// decision, or that a report is for.
type (
	slotRequestMessage struct{ request SlotRequest }
	decisionMessage    struct {
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
	expireMessage struct{ holder Holder }
)

var simulatedServices = []ident.Service{"catalogue", "deposits"}

// simulatedTimeouts holds the request timeouts of the services. Most requests
// end before their timeout.
var simulatedTimeouts = map[ident.Service]time.Duration{"catalogue": 100 * time.Millisecond, "deposits": 300 * time.Millisecond}

func newSimulation(seed int64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0),
		leaving: map[ident.Target]bool{}, slots: map[ident.Target]int{}, requests: map[SlotRequestID]SlotRequest{}, granted: map[SlotRequestID]bool{},
	}
	// Without a capacity of the region, services open one by one.
	s.capacity = 8 * s.random.Intn(2)
	s.lossRate, s.ownerReplaceRate = s.random.Intn(4), s.random.Intn(12)
	for i := range 6 {
		id := ident.Target(fmt.Sprintf("t%d", i))
		s.slots[id] = 1 + s.random.Intn(5)
		s.listed = append(s.listed, NewTarget(id, simulatedServices[i%2], "", "z1", s.slots[id], StateLive))
	}
	for i := range 3 {
		s.holders = append(s.holders, newHolderModel(ident.Host(fmt.Sprintf("h%d", i)), 1))
	}
	s.replaceOwner()
	return s
}

func newHolderModel(h ident.Host, i ident.Incarnation) *holderModel {
	return &holderModel{id: NewHolder(h, i), open: map[uint64]ident.Target{}, waiting: map[uint64]SlotRequest{}, arrived: map[uint64]time.Time{}}
}

// replaceOwner starts a new pool that knows nothing of the grants in use.
func (s *simulation) replaceOwner() {
	s.epoch++
	s.orphaned = nil
	s.pool = New("r1", WithEjection(50*time.Millisecond), WithTakeoverTime(s.now))
	s.pool.SetServices(s.now, []Service{
		NewService(simulatedServices[0], 0.2, 100*time.Millisecond, WithTimeout(simulatedTimeouts[simulatedServices[0]])),
		NewService(simulatedServices[1], 0, time.Second, WithTimeout(simulatedTimeouts[simulatedServices[1]])),
	})
	s.pool.SetCapacity(s.now, s.capacity)
	s.pool.SetTargets(s.now, s.listed)
	var expected []Holder
	for _, h := range s.holders {
		expected = append(expected, h.id)
	}
	s.pool.ExpectHolders(expected)
	s.sendDecisions(s.pool.TryOpen(s.now))
}

// sendDecisions sends decisions to the holders and checks each grant.
func (s *simulation) sendDecisions(list []Decision) {
	for _, d := range list {
		if g, ok := d.(Granted); ok && s.leaving[g.target] {
			s.fail("grant at leaving target %s", g.target)
		}
		if g, ok := d.(Granted); ok {
			s.checkUrgentFirst(g)
		}
		s.send(decisionMessage{epoch: s.epoch, decision: d})
	}
}

// checkUrgentFirst finds grants to requests of other classes while an urgent
// request waits that could use the same target. Decisions of one call are made
// together, so an urgent request that waits after the call also waited during
// it.
func (s *simulation) checkUrgentFirst(g Granted) {
	h := s.pool.holders[g.id.holder]
	granted := s.requests[g.id]
	if granted.class.urgent || s.granted[g.id] || h == nil || h.grants[g.id.number] == nil {
		return
	}
	s.granted[g.id] = true
	for _, q := range s.pool.expiries {
		if q.request.class.urgent && q.request.service == granted.service && len(q.request.avoid) == 0 {
			s.fail("request that is not urgent granted while an urgent one waits")
		}
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

// send puts a message into the network: usually once, sometimes never or twice.
func (s *simulation) send(m any) {
	copies := 1
	switch r := s.random.Intn(20); {
	case r < s.lossRate:
		copies = 0
	case r < s.lossRate+2:
		copies = 2
	}
	for range copies {
		s.network = append(s.network, m)
	}
}

// deliver delivers a random message of the network.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	at := s.random.Intn(len(s.network))
	m := s.network[at]
	s.network = append(s.network[:at], s.network[at+1:]...)
	if s.isPartitioned(m) {
		return
	}
	switch m := m.(type) {
	case slotRequestMessage:
		if d := s.pool.Acquire(s.now, m.request); d != (Queued{id: m.request.id}) {
			s.sendDecisions([]Decision{d})
		}
	case decisionMessage:
		s.receive(m)
	case releaseMessage:
		s.sendDecisions(s.pool.Release(s.now, m.id, m.result))
	case reportMessage:
		if m.epoch == s.epoch {
			s.sendDecisions(s.pool.ApplyHoldings(s.now, m.holdings))
			s.sendDecisions(s.pool.TryOpen(s.now))
		}
	case expireMessage:
		s.sendDecisions(s.pool.ExpireProcess(s.now, m.holder.host, m.holder.incarnation))
		s.sendDecisions(s.pool.TryOpen(s.now))
	}
}

// isPartitioned reports whether a message is from or to a partitioned holder.
func (s *simulation) isPartitioned(m any) bool {
	var id Holder
	switch m := m.(type) {
	case slotRequestMessage:
		id = m.request.id.holder
	case decisionMessage:
		id = m.decision.ID().holder
	case releaseMessage:
		id = m.id.holder
	case reportMessage:
		id = m.holdings.holder
	}
	for _, h := range s.holders {
		if h.id == id {
			return h.partitioned
		}
	}
	return false
}

// receive starts a holder's request, unless the holder has abandoned it or the
// grant comes from an earlier owner than the one that the holder has reported
// to.
func (s *simulation) receive(m decisionMessage) {
	for _, h := range s.holders {
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

func (s *simulation) requestSlot(h *holderModel) {
	h.lastNumber++
	i := s.random.Intn(2)
	class := NewClass("reads", false, 6, 0)
	if s.random.Intn(4) == 0 {
		class = NewClass("alerts", true, 6, 0)
	}
	var avoid []ident.Target
	if s.random.Intn(5) == 0 {
		avoid = []ident.Target{s.listed[s.random.Intn(len(s.listed))].id}
	}
	deadline := s.now.Add(time.Duration(1+s.random.Intn(200)) * time.Millisecond)
	r := NewSlotRequest(NewSlotRequestID(h.id, h.lastNumber), simulatedServices[i], ident.Team(fmt.Sprintf("team%d", s.random.Intn(3))),
		class, deadline, WithAvoid(avoid...), WithZone("z1"))
	h.waiting[h.lastNumber], h.arrived[h.lastNumber] = r, s.now
	s.requests[r.id] = r
	s.send(slotRequestMessage{request: r})
}

// endRequest ends a random request of the holder, or cancels it.
func (s *simulation) endRequest(h *holderModel) {
	outcomes := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeTimeout, OutcomeCrashed, OutcomeShed, OutcomeCancelled}
	for n := range h.lastNumber + 1 {
		_, open := h.open[n]
		_, waits := h.waiting[n]
		if (open || waits) && s.random.Intn(3) == 0 {
			delete(h.open, n)
			delete(h.waiting, n)
			result := NewResult(outcomes[s.random.Intn(len(outcomes))], time.Millisecond)
			s.send(releaseMessage{id: NewSlotRequestID(h.id, n), result: result})
			return
		}
	}
}

// advance advances the time and ends the requests that reach their timeout.
// The owner learns of it from reports and releases only.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, h := range append(s.orphaned, s.holders...) {
		for n, at := range h.arrived {
			if s.now.Sub(at) >= simulatedTimeouts[s.requests[NewSlotRequestID(h.id, n)].service] {
				delete(h.open, n)
				delete(h.waiting, n)
				delete(h.arrived, n)
			}
		}
	}
}

func (s *simulation) sendReport(h *holderModel) {
	h.sequence++
	h.fence = s.epoch
	var open []OpenGrant
	var waiting []uint64
	for n := range h.lastNumber + 1 {
		if t, ok := h.open[n]; ok {
			open = append(open, NewOpenGrant(n, "", t, ident.Fingerprint{}, 0))
		}
		if _, ok := h.waiting[n]; ok {
			waiting = append(waiting, n)
		}
	}
	s.send(reportMessage{epoch: s.epoch, holdings: NewHoldings(h.id, h.sequence, h.lastNumber, open, waiting)})
}

// restartHolder ends a holder's process with all its requests, or partitions it
// permanently while they still run. The owner learns of it later.
func (s *simulation) restartHolder(i int) {
	old := s.holders[i].id
	if known := s.pool.holders[old]; known != nil && s.random.Intn(2) == 0 {
		// The pool does not count requests of an ended process that no report
		// has named.
		maps.DeleteFunc(s.holders[i].open, func(n uint64, _ ident.Target) bool { return known.grants[n] == nil })
		s.orphaned = append(s.orphaned, s.holders[i])
	}
	s.holders[i] = newHolderModel(old.host, old.incarnation+1)
	s.network = append(s.network, expireMessage{holder: old})
}

// toggleLeaving toggles whether a target is leaving by its state in the list.
func (s *simulation) toggleLeaving() {
	i := s.random.Intn(len(s.listed))
	t := s.listed[i]
	state := StateLive
	if s.leaving[t.id] = !s.leaving[t.id]; s.leaving[t.id] {
		state = StateLeaving
	}
	s.listed[i] = NewTarget(t.id, t.service, "", "z1", t.slots, state, WithColdSince(s.now))
	s.sendDecisions(s.pool.SetTargets(s.now, s.listed))
}

// deliverProbeReport applies a probe report with a random age, health and load.
func (s *simulation) deliverProbeReport() {
	t := s.listed[s.random.Intn(len(s.listed))]
	at := s.now.Add(-time.Duration(s.random.Intn(5000)) * time.Millisecond)
	r := NewProbeReport(t.id, at, s.random.Intn(2) == 0, s.random.Float64()*1.5, false)
	s.sendDecisions(s.pool.Observe(s.now, r))
}

// step performs one random event and checks the bounds.
func (s *simulation) step() {
	h := s.holders[s.random.Intn(len(s.holders))]
	switch r := s.random.Intn(1000); {
	case r < s.ownerReplaceRate:
		s.replaceOwner()
	case r < 300:
		s.requestSlot(h)
	case r < 380:
		s.endRequest(h)
	case r < 870:
		s.deliver()
	case r < 930:
		s.sendReport(h)
	case r < 970:
		s.advance(time.Duration(s.random.Intn(30)) * time.Millisecond)
		if s.random.Intn(2) == 0 {
			s.sendDecisions(s.pool.Tick(s.now))
		}
	case r < 985:
		s.deliverProbeReport()
	case r < 993:
		s.toggleLeaving()
	case r < 997:
		h.partitioned = !h.partitioned
	default:
		s.restartHolder(s.random.Intn(len(s.holders)))
	}
	s.check()
}

// check compares the requests that really run with the slots and the capacity.
func (s *simulation) check() {
	running := map[ident.Target]int{}
	total := 0
	for _, h := range append(s.orphaned, s.holders...) {
		for _, t := range h.open {
			running[t]++
			total++
		}
	}
	if s.capacity > 0 && total > s.capacity {
		s.fail("%d requests run, capacity is %d", total, s.capacity)
	}
	for t, n := range running {
		if n > s.slots[t] {
			s.fail("%d requests run at %s, which has %d slots", n, t, s.slots[t])
		}
	}
}

// checkDrained ends all requests, waits for the timeouts, delivers reports and
// checks that no slot and no request remains.
func (s *simulation) checkDrained() {
	s.network = nil
	s.advance(2 * time.Second)
	for _, h := range s.holders {
		clear(h.open)
		clear(h.waiting)
		s.sendDecisions(s.pool.ExpireProcess(s.now, h.id.host, h.id.incarnation-1))
		s.sendDecisions(s.pool.ApplyHoldings(s.now, NewHoldings(h.id, h.sequence+1, h.lastNumber, nil, nil)))
	}
	s.sendDecisions(s.pool.TryOpen(s.now))
	if n, q := s.pool.InFlight(), s.pool.Waiting(); n != 0 || q != 0 || !s.pool.IsOpen() {
		s.fail("%d slots and %d slot requests leaked, open = %t", n, q, s.pool.IsOpen())
	}
	for t := range s.slots {
		if n := s.pool.TargetInFlight(t); n != 0 {
			s.fail("%d slots of %s leaked", n, t)
		}
	}
}
