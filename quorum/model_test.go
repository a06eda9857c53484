package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

const (
	modelStep         = 20 * time.Millisecond
	modelInterval     = 200 * time.Millisecond
	modelElection     = 400 * time.Millisecond
	modelJoinLifetime = 2 * time.Second
	modelAbsence      = time.Second
	// modelCatchUp is how long a machine counts as lost after it is back.
	modelCatchUp = 4 * time.Second
)

// machine is a control host of the model: its disk, and its node while it runs.
type machine struct {
	address string
	name    ident.Host
	disk    agree.DiskID
	hard    agree.HardState
	entries []agree.Entry
	node    *agree.Node
	cut     bool
	// gone is set once the machine will never be back.
	gone bool
	// busyUntil is until when no other fault may befall the machine.
	busyUntil time.Time
	// lostUntil is until when the machine counts as lost.
	lostUntil   time.Time
	absentSince time.Time
	nextCheck   time.Time
	joiners     map[ident.Host]time.Time
	leavers     map[ident.Host]time.Time
}

// model runs the control hosts of a fleet with simulated time and a network
// without delay beyond a step.
type model struct {
	// tolerance is the number of losses that are to be borne at once.
	tolerance int
	random    *rand.Rand
	now       time.Time
	machines  []*machine
	messages  []agree.Message
	initial   agree.Members
	nextDisk  agree.DiskID
	nextTag   agree.Tag
	// later holds what happens at a time.
	later []event
	trace []string
	// silence is that after which a voter is removed. rejoins is set if hosts
	// without a leader ask to join, and leaves if hosts ask to be removed before
	// they stop.
	silence         time.Duration
	rejoins, leaves bool
}

type event struct {
	at time.Time
	do func()
}

// newModel returns a model with a number of machines, of which as many may be lost at
// once as tolerance says.
func newModel(seed uint64, machines, tolerance int) *model {
	m := &model{
		tolerance: tolerance, random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), silence: voterSilence, rejoins: true, leaves: true,
	}
	for range machines {
		m.addMachine()
	}
	for _, h := range m.machines {
		m.initial = m.initial.With(agree.NewMember(h.name, h.address, h.disk, true))
	}
	for _, h := range m.machines {
		h.hard = agree.NewHardState(0, "", m.initial)
		m.start(h)
	}
	return m
}

func (m *model) logf(format string, values ...any) {
	m.trace = append(m.trace, m.now.Format("05.00 ")+fmt.Sprintf(format, values...))
}

func (m *model) addMachine() *machine {
	h := &machine{address: fmt.Sprintf("h%d", len(m.machines)+1)}
	m.machines = append(m.machines, h)
	m.emptyDisk(h)
	return h
}

func (m *model) emptyDisk(h *machine) {
	m.nextDisk++
	h.disk, h.name = m.nextDisk, ident.Host(fmt.Sprintf("%s/%d", h.address, m.nextDisk))
	h.hard, h.entries = agree.HardState{}, nil
}

func (m *model) start(h *machine) {
	restored := agree.NewPersistentState(h.disk, h.hard, ident.None[agree.Snapshot](), slices.Clone(h.entries))
	h.node = agree.New(h.name, restored, agree.WithSeed(uint64(h.disk)), agree.WithElectionTimeout(modelElection))
	h.absentSince, h.joiners, h.leavers = m.now, map[ident.Host]time.Time{}, map[ident.Host]time.Time{}
}

func (m *model) find(name ident.Host) *machine {
	for _, h := range m.machines {
		if h.name == name {
			return h
		}
	}
	return nil
}

// reaches reports whether messages pass from one machine to another.
func (m *model) reaches(a, b *machine) bool {
	return a.node != nil && b.node != nil && !a.cut && !b.cut
}

// step passes an input to a node and carries out the effects; every write is
// durable at once.
func (m *model) step(h *machine, input agree.Input) {
	if h.node == nil {
		return
	}
	effects := h.node.Step(m.now, input)
	m.messages = append(m.messages, effects.Messages()...)
	for _, w := range effects.Writes() {
		h.hard = w.HardState()
		if list := w.Entries(); len(list) > 0 {
			h.entries = append(h.entries[:list[0].Revision()-1:list[0].Revision()-1], list...)
		}
		m.step(h, agree.NewSynced(w.Number()))
	}
}

// advance lets a step of time pass.
func (m *model) advance() {
	m.now = m.now.Add(modelStep)
	due := slices.DeleteFunc(slices.Clone(m.later), func(e event) bool { return e.at.After(m.now) })
	m.later = slices.DeleteFunc(m.later, func(e event) bool { return !e.at.After(m.now) })
	for _, e := range due {
		e.do()
	}
	messages := m.messages
	m.messages = nil
	for _, message := range messages {
		from, to := m.find(message.From()), m.find(message.To())
		if from != nil && to != nil && m.reaches(from, to) {
			m.step(to, agree.NewReceive(message))
		}
	}
	for _, h := range m.machines {
		m.step(h, agree.Tick{})
		if h.node != nil && !m.now.Before(h.nextCheck) {
			h.nextCheck = m.now.Add(modelInterval)
			m.maintain(h)
		}
	}
}

// maintain does what a control host does about the membership.
func (m *model) maintain(h *machine) {
	if h.node.Leader() != "" {
		h.absentSince = m.now
	}
	if h.node.Role() == agree.Leader {
		m.lead(h)
		return
	}
	isAbsent := m.rejoins && m.now.Sub(h.absentSince) >= modelAbsence
	if h.node.Members().IsVoter(h.name) && !isAbsent {
		return
	}
	for _, other := range m.machines {
		if other != h && m.reaches(h, other) {
			other.joiners[h.name] = m.now
		}
	}
}

// lead applies the next change of the membership.
func (m *model) lead(h *machine) {
	var joiners []Joiner
	for _, other := range m.machines {
		if at, ok := h.joiners[other.name]; ok && m.now.Sub(at) < modelJoinLifetime {
			joiners = append(joiners, NewJoiner(other.name, other.address))
		}
	}
	var leavers []ident.Host
	for name, at := range h.leavers {
		if m.now.Sub(at) < modelJoinLifetime {
			leavers = append(leavers, name)
		}
	}
	change, ok := m.planner(h).Next(m.members(h), joiners, leavers)
	if !ok {
		return
	}
	m.nextTag++
	member := agree.NewMember(change.Host(), change.Address(), 0, false)
	kind := agree.ChangeRemove
	if change.Kind() == Add {
		host := m.find(change.Host())
		if host == nil || !m.reaches(h, host) {
			return
		}
		member, kind = agree.NewMember(host.name, host.address, host.disk, false), agree.ChangeAdd
		if _, known := h.node.Members().Find(host.name); known {
			kind = agree.ChangePromote
		}
	}
	before := h.node.LastRevision()
	m.step(h, agree.NewChangeMember(m.nextTag, kind, member))
	if h.node.LastRevision() > before {
		m.logf("%s: %s %s (%s)", h.name, change.Kind(), change.Host(), change.Reason())
		// The leader looks for the next change as soon as this one is committed.
		h.nextCheck = m.now.Add(2 * modelStep)
	}
}

// planner returns the planner of a leader.
func (m *model) planner(h *machine) Planner {
	p := NewPlanner(h.name, WithTolerance(m.tolerance))
	p.voterSilence = m.silence
	return p
}

func (m *model) members(h *machine) []Member {
	var list []Member
	for _, s := range h.node.MemberStatus() {
		list = append(list, NewMember(s.Member().Host(), s.Member().Address(), s.Member().IsVoter(), m.now.Sub(s.LastContact())))
	}
	return list
}

func (m *model) leader() *machine {
	var best *machine
	for _, h := range m.machines {
		if h.node != nil && h.node.Role() == agree.Leader && (best == nil || h.node.Term() > best.node.Term()) {
			best = h
		}
	}
	return best
}

// membership returns the latest membership in the most complete log.
func (m *model) membership() agree.Members {
	members, best := m.initial, agree.Entry{}
	for _, h := range m.machines {
		if len(h.entries) == 0 || h.gone {
			continue
		}
		last := h.entries[len(h.entries)-1]
		if last.Term() < best.Term() || last.Term() == best.Term() && last.Revision() <= best.Revision() {
			continue
		}
		best, members = last, m.initial
		for _, e := range h.entries {
			if e.Kind() == agree.EntryMembers {
				members = e.Members()
			}
		}
	}
	return members
}

// lost returns the number of machines that count as lost.
func (m *model) lost() int {
	lost := 0
	for _, h := range m.machines {
		if m.now.Before(h.lostUntil) {
			lost++
		}
	}
	return lost
}

// check returns an error if the loss of as many further disks as are to be borne
// now could leave no majority of the voters.
func (m *model) check() error {
	lost := m.lost()
	members := m.membership()
	intact := 0
	for _, member := range members.List() {
		if h := m.find(member.Host()); h != nil && !h.gone && member.IsVoter() {
			intact++
		}
	}
	if remaining := intact - max(0, m.tolerance-lost); 2*remaining <= members.Voters() {
		return fmt.Errorf("%d of %d voters have their disks, %d more may lose them:\n%s",
			intact, members.Voters(), m.tolerance-lost, strings.Join(m.trace, "\n"))
	}
	return nil
}
