package agree

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"rhubarbrack/ident"
)

const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 20 * time.Millisecond
	// maxQueuedMessages bounds the messages in flight; the oldest are dropped.
	maxQueuedMessages = 300
	// maxPendingReads bounds the concurrent reads at a host. The time that the
	// linearizability check takes grows exponentially with concurrent reads.
	maxPendingReads = 6
)

// simDisk is the persistent state of a host, which survives a crash.
type simDisk struct {
	id        DiskID
	hardState HardState
	snapshot  ident.Option[Snapshot]
	entries   []Entry
}

func (d *simDisk) apply(write Write) {
	d.hardState = write.hardState
	if _, ok := write.snapshot.Get(); ok {
		d.snapshot, d.entries = write.snapshot, slices.Clone(write.entries)
		return
	}
	if len(write.entries) == 0 {
		return
	}
	if len(d.entries) > 0 {
		keep := int(write.entries[0].revision - d.entries[0].revision)
		d.entries = slices.Clip(d.entries[:keep])
	}
	d.entries = append(d.entries, write.entries...)
}

// simHost is a simulated host: its disk, and its node while the process runs.
// Its clock runs slower than the simulated time by the factor clockDivisor.
type simHost struct {
	name         ident.Host
	disk         simDisk
	node         *Node
	unsynced     []Write
	state        register
	now          time.Time
	clockDivisor int
	pendingReads int
}

// register is the state machine. It holds the last value written and its
// revision.
type register struct {
	revision ident.Revision
	value    string
}

// simulation runs the nodes of a cluster under a schedule of actions and checks
// the invariants in every step. writeOps and readOps hold the positions of
// operations in the history.
type simulation struct {
	invariantChecker
	now             time.Time
	hosts           map[ident.Host]*simHost
	order           []ident.Host
	committedWrites int
	initial         Members
	messages        []Message
	cutLinks        map[[2]ident.Host]bool
	nextDisk        DiskID
	nextTag         Tag
	steps           int64
	history         []porcupine.Operation
	writeOps        map[string]int
	readOps         map[Tag]int
}

func newSimulation(voters int) *simulation {
	sim := &simulation{
		invariantChecker: newInvariantChecker(), now: time.Unix(0, 0), hosts: map[ident.Host]*simHost{},
		cutLinks: map[[2]ident.Host]bool{}, writeOps: map[string]int{}, readOps: map[Tag]int{},
	}
	for i := range voters {
		host := ident.Host(rune('a' + i))
		h := sim.addHost(host)
		sim.initial = sim.initial.With(NewMember(host, "", h.disk.id, true))
	}
	for _, host := range sim.order {
		sim.start(sim.hosts[host])
	}
	return sim
}

func (sim *simulation) addHost(host ident.Host) *simHost {
	sim.nextDisk++
	h := &simHost{name: host, disk: simDisk{id: sim.nextDisk}, now: sim.now, clockDivisor: 1}
	sim.hosts[host] = h
	sim.order = append(sim.order, host)
	return h
}

// start starts the process of a host. A host of the initial membership with an
// empty disk bootstraps the cluster.
func (sim *simulation) start(h *simHost) {
	disk := h.disk
	restored := NewPersistentState(disk.id, disk.hardState, disk.snapshot, slices.Clone(disk.entries))
	h.node = New(h.name, restored, WithElectionTimeout(simElectionTimeout), WithHeartbeatInterval(simHeartbeatInterval),
		WithSeed(uint64(disk.id)), WithMaxMessageBytes(200), WithMaxInFlight(3), WithRetainedEntries(2), WithMaxUncommitted(20, 2000))
	s, _ := disk.snapshot.Get()
	h.state = register{revision: s.revision, value: string(s.data)}
	if m, ok := sim.initial.Find(h.name); ok && m.diskID == disk.id && restored.IsEmpty() {
		sim.step(h, NewBootstrap(sim.initial))
	}
}

// crash ends the process of a host. Of the writes that were not synced, the
// first ones survive, as many as given.
func (sim *simulation) crash(h *simHost, surviving int) {
	for i, write := range h.unsynced {
		if i < surviving {
			h.disk.apply(write)
		}
	}
	h.unsynced, h.node, h.pendingReads = nil, nil, 0
}

// loseDisk replaces the disk of a host with an empty one under the same host
// name.
func (sim *simulation) loseDisk(h *simHost) {
	sim.crash(h, 0)
	sim.nextDisk++
	h.disk = simDisk{id: sim.nextDisk}
}

func (sim *simulation) sync(h *simHost, writes int) {
	if h.node == nil || len(h.unsynced) == 0 {
		return
	}
	writes = min(writes, len(h.unsynced))
	for _, write := range h.unsynced[:writes] {
		h.disk.apply(write)
	}
	number := h.unsynced[writes-1].number
	h.unsynced = h.unsynced[writes:]
	sim.step(h, NewSynced(number))
}

func (sim *simulation) step(h *simHost, input Input) {
	if h.node == nil {
		return
	}
	sim.steps++
	effects := h.node.Step(h.now, input)
	h.unsynced = append(h.unsynced, effects.writes...)
	sim.messages = append(sim.messages, effects.messages...)
	if excess := len(sim.messages) - maxQueuedMessages; excess > 0 {
		sim.messages = sim.messages[excess:]
	}
	if s, ok := effects.install.Get(); ok {
		sim.checkInstall(h.name, s)
		h.state = register{revision: s.revision, value: string(s.data)}
	}
	for _, entry := range effects.committed {
		sim.apply(h, entry)
	}
	for _, barrier := range effects.barriers {
		sim.endRead(h, barrier)
		h.pendingReads--
	}
	for _, refusal := range effects.refusals {
		if _, ok := sim.readOps[refusal.tag]; ok {
			h.pendingReads--
		}
	}
	if c, ok := effects.roleChange.Get(); ok && c.role == Leader {
		sim.checkLeader(h.node)
	}
}

func (sim *simulation) apply(h *simHost, e Entry) {
	if e.revision != h.state.revision+1 {
		sim.failf("%s applies %d after %d", h.name, e.revision, h.state.revision)
	}
	h.state.revision = e.revision
	if e.kind == EntryData {
		h.state.value = string(e.data)
	}
	sim.checkCommitted(h.name, e, h.state.value)
	// Once some node has applied a write, every read that starts later must
	// return it, whether or not the proposer received an acknowledgement.
	if op, ok := sim.writeOps[string(e.data)]; ok && sim.history[op].Return == notAcknowledged {
		sim.committedWrites++
		sim.history[op].Input = registerInput{write: true, value: string(e.data), sequence: sim.committedWrites}
		sim.history[op].Return = sim.steps
	}
}

// beginWrite proposes a new value at a host.
func (sim *simulation) beginWrite(h *simHost) {
	if h.node == nil {
		return
	}
	sim.nextTag++
	value := fmt.Sprintf("v%d", sim.nextTag)
	sim.writeOps[value] = len(sim.history)
	sim.history = append(sim.history, porcupine.Operation{
		Input: registerInput{write: true, value: value}, Call: sim.steps, Return: notAcknowledged, ClientId: int(sim.nextTag),
	})
	sim.step(h, NewPropose(NewProposal(sim.nextTag, []byte(value))))
}

func (sim *simulation) beginRead(h *simHost) {
	if h.node == nil || h.pendingReads >= maxPendingReads {
		return
	}
	h.pendingReads++
	sim.nextTag++
	sim.readOps[sim.nextTag] = len(sim.history)
	sim.history = append(sim.history, porcupine.Operation{
		Input: registerInput{}, Call: sim.steps, Return: notAcknowledged, ClientId: int(sim.nextTag),
	})
	sim.step(h, NewReadBarrier(sim.nextTag))
}

func (sim *simulation) endRead(h *simHost, barrier Barrier) {
	op := &sim.history[sim.readOps[barrier.tag]]
	if h.state.revision < barrier.revision {
		sim.failf("%s reached barrier %d before it was applied", h.name, barrier.revision)
	}
	op.Output, op.Return = h.state.value, sim.steps
}

// deliver removes a message from the queue and delivers it to its recipient,
// unless the link is cut.
func (sim *simulation) deliver(i int) {
	m := sim.messages[i]
	sim.messages = slices.Delete(sim.messages, i, i+1)
	if h := sim.hosts[m.to]; h != nil && !sim.cutLinks[[2]ident.Host{m.from, m.to}] {
		sim.step(h, NewReceive(m))
	}
}

// advance advances the simulated time and the clocks of the hosts, some of which
// run slow.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, host := range sim.order {
		h := sim.hosts[host]
		h.now = h.now.Add(d / time.Duration(h.clockDivisor))
		sim.step(h, Tick{})
	}
}

func (sim *simulation) leader() *simHost {
	var best *simHost
	for _, host := range sim.order {
		h := sim.hosts[host]
		if h.node != nil && h.node.role == Leader && (best == nil || h.node.term > best.node.term) {
			best = h
		}
	}
	return best
}

// runWithoutFaults delivers all messages and syncs all writes for a number of
// rounds of half a heartbeat interval.
func (sim *simulation) runWithoutFaults(rounds int) {
	for range rounds {
		sim.advance(simHeartbeatInterval / 2)
		for range 3 {
			for n := len(sim.messages); n > 0 && len(sim.messages) > 0; n-- {
				sim.deliver(0)
			}
			for _, host := range sim.order {
				sim.sync(sim.hosts[host], maxQueuedMessages)
			}
		}
	}
}

// endFaults restores all links and clocks and starts all processes.
func (sim *simulation) endFaults() {
	clear(sim.cutLinks)
	for _, host := range sim.order {
		h := sim.hosts[host]
		h.clockDivisor = 1
		if h.node == nil {
			sim.start(h)
		}
	}
}
