package agree

import (
	"errors"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// nodeDriver steps node a of a cluster with the voters a, b and c, whose disk
// identities are 1, 2 and 3.
type nodeDriver struct {
	*Node
	t       *testing.T
	clock   time.Time
	effects Effects
}

var threeVoters = NewMembers(NewMember("a", "", 1, true), NewMember("b", "", 2, true), NewMember("c", "", 3, true))

func newNodeDriver(t *testing.T, entries ...Entry) *nodeDriver {
	term := Term(0)
	if len(entries) > 0 {
		term = entries[len(entries)-1].term
	}
	r := NewPersistentState(1, NewHardState(term, "", threeVoters), ident.None[Snapshot](), entries)
	return &nodeDriver{Node: New("a", r, WithMaxMessageBytes(100), WithMaxProposalBytes(100), WithMaxUncommitted(3, 1000)), t: t, clock: time.Unix(0, 0)}
}

func (d *nodeDriver) stepWith(input Input) Effects {
	d.effects = d.Step(d.clock, input)
	return d.effects
}

// syncWrites reports that all writes are durable.
func (d *nodeDriver) syncWrites() Effects { return d.stepWith(NewSynced(d.durable.lastWrite)) }

func (d *nodeDriver) tickAfter(after time.Duration) Effects {
	d.clock = d.clock.Add(after)
	return d.stepWith(Tick{})
}

// messageFrom returns a message from b or c to the node.
func (d *nodeDriver) messageFrom(host ident.Host, kind MessageKind, term Term) Message {
	m, _ := threeVoters.Find(host)
	return NewMessage(kind, term, host, "a", m.diskID, 1)
}

// winElection makes the node the leader with the vote of b.
func (d *nodeDriver) winElection() {
	d.tickAfter(0)
	d.tickAfter(2 * defaultElectionTimeout)
	d.stepWith(NewReceive(d.messageFrom("b", MessagePreVoteResponse, d.term+1)))
	d.syncWrites()
	d.stepWith(NewReceive(d.messageFrom("b", MessageVoteResponse, d.term)))
	d.syncWrites()
	if d.role != Leader {
		d.t.Fatalf("role = %v after an election", d.role)
	}
}

// confirmLog delivers a response of b that confirms the log up to a revision.
func (d *nodeDriver) confirmLog(revision ident.Revision) Effects {
	return d.stepWith(NewReceive(d.messageFrom("b", MessageAppendResponse, d.term).WithPosition(revision, 0)))
}

func (d *nodeDriver) refusal() error {
	if len(d.effects.refusals) == 0 {
		return nil
	}
	return d.effects.refusals[0].err
}

// sentMessages returns the messages of a kind that the last step emitted.
func (d *nodeDriver) sentMessages(kind MessageKind) []Message {
	return slices.DeleteFunc(slices.Clone(d.effects.messages), func(m Message) bool { return m.kind != kind })
}

func noOpEntries(terms ...Term) []Entry {
	var out []Entry
	for i, term := range terms {
		out = append(out, NewEntry(ident.Revision(i+1), term, EntryNoOp, nil))
	}
	return out
}

// Guards against violations of protocol rules that random schedules seldom
// exercise.
func TestNode(t *testing.T) {
	cases := []struct {
		name string
		log  []Entry
		run  func(d *nodeDriver) bool
	}{
		{name: "a vote after a refusal in the same term is written before it is sent", log: noOpEntries(1), run: func(d *nodeDriver) bool {
			d.stepWith(NewReceive(d.messageFrom("b", MessageVote, 2).WithPosition(0, 0)))
			d.syncWrites()
			d.stepWith(NewReceive(d.messageFrom("c", MessageVote, 2).WithPosition(1, 1)))
			early := len(d.sentMessages(MessageVoteResponse))
			written := len(d.effects.writes) == 1 && d.effects.writes[0].hardState.vote == "c"
			d.syncWrites()
			return early == 0 && written && len(d.sentMessages(MessageVoteResponse)) == 1
		}},
		{name: "an entry of an earlier term is not committed by counting copies", log: noOpEntries(1), run: func(d *nodeDriver) bool {
			d.winElection()
			d.confirmLog(1)
			before := d.commit
			d.confirmLog(2)
			return before == 0 && d.commit == 2
		}},
		{name: "no membership change before an entry of the term is committed", run: func(d *nodeDriver) bool {
			d.winElection()
			d.stepWith(NewChangeMember(1, ChangeAdd, NewMember("d", "", 4, false)))
			return errors.Is(d.refusal(), ErrChangePending)
		}},
		{name: "one membership change at a time", run: func(d *nodeDriver) bool {
			d.winElection()
			d.confirmLog(1)
			d.stepWith(NewChangeMember(1, ChangeAdd, NewMember("d", "", 4, false)))
			first := d.refusal()
			d.stepWith(NewChangeMember(2, ChangeAdd, NewMember("e", "", 5, false)))
			return first == nil && errors.Is(d.refusal(), ErrChangePending)
		}},
		{name: "a name in use is not given to another disk", run: func(d *nodeDriver) bool {
			d.winElection()
			d.confirmLog(1)
			d.stepWith(NewChangeMember(1, ChangeAdd, NewMember("b", "", 9, false)))
			return errors.Is(d.refusal(), ErrInvalidChange)
		}},
		{name: "a learner that lags is not promoted", run: func(d *nodeDriver) bool {
			d.winElection()
			d.confirmLog(1)
			d.stepWith(NewChangeMember(1, ChangeAdd, NewMember("d", "", 4, false)))
			d.syncWrites()
			d.confirmLog(2)
			d.clock = d.clock.Add(defaultElectionTimeout)
			d.confirmLog(2)
			d.stepWith(NewChangeMember(2, ChangePromote, NewMember("d", "", 4, false)))
			return errors.Is(d.refusal(), ErrNotCaughtUp)
		}},
		{name: "a dropped membership change is not in force", run: func(d *nodeDriver) bool {
			added := NewMembersEntry(1, 1, threeVoters.With(NewMember("d", "", 4, true)))
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 1).WithEntries([]Entry{added})))
			during := d.members().Len()
			d.stepWith(NewReceive(d.messageFrom("c", MessageAppend, 2).WithEntries(noOpEntries(2))))
			return during == 4 && d.members().Len() == 3
		}},
		{name: "an installed snapshot brings its membership", run: func(d *nodeDriver) bool {
			s := NewSnapshot(5, 1, threeVoters.Without("c"), nil)
			d.stepWith(NewReceive(d.messageFrom("b", MessageInstallSnapshot, 1).WithSnapshot(s)))
			return d.members().Len() == 2 && d.commit == 5
		}},
		{name: "a heartbeat in a new term is acknowledged only when the term is durable", run: func(d *nodeDriver) bool {
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 1)))
			early := len(d.sentMessages(MessageAppendResponse))
			d.syncWrites()
			return early == 0 && len(d.sentMessages(MessageAppendResponse)) == 1
		}},
		{name: "a heartbeat during a slow sync is acknowledged with what is durable", run: func(d *nodeDriver) bool {
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 1)))
			d.syncWrites()
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 1).WithEntries(noOpEntries(1))))
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 1).WithPosition(1, 1)))
			got := d.sentMessages(MessageAppendResponse)
			return len(got) == 1 && got[0].revision == 0
		}},
		{name: "a voter with a live leader takes no part in elections", run: func(d *nodeDriver) bool {
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 1)))
			d.syncWrites()
			d.stepWith(NewReceive(d.messageFrom("c", MessagePreVote, 2)))
			refused := len(d.sentMessages(MessagePreVoteResponse)) == 1 && d.effects.messages[0].reject
			d.stepWith(NewReceive(d.messageFrom("c", MessageVote, 2)))
			return refused && d.term == 1
		}},
		{name: "a voter whose leader is silent takes part in elections", run: func(d *nodeDriver) bool {
			d.stepWith(NewReceive(d.messageFrom("b", MessageAppend, 1)))
			d.clock = d.clock.Add(defaultElectionTimeout)
			d.stepWith(NewReceive(d.messageFrom("c", MessagePreVote, 2)))
			return len(d.sentMessages(MessagePreVoteResponse)) == 1 && !d.effects.messages[0].reject && d.term == 1
		}},
		{name: "a host that was cut off does not raise its term", run: func(d *nodeDriver) bool {
			for range 10 {
				d.tickAfter(2 * defaultElectionTimeout)
			}
			return d.term == 0 && d.role == PreCandidate
		}},
		{name: "a leader without responses steps down and refuses its barriers", run: func(d *nodeDriver) bool {
			d.winElection()
			d.confirmLog(1)
			d.stepWith(NewReadBarrier(7))
			d.tickAfter(defaultElectionTimeout)
			return d.role == Follower && errors.Is(d.refusal(), ErrNotLeader)
		}},
		{name: "a transfer that fails does not end the leadership", run: func(d *nodeDriver) bool {
			d.winElection()
			d.confirmLog(1)
			d.stepWith(NewTransferLeadership(1, "b"))
			requested := len(d.sentMessages(MessageTimeoutNow)) == 1
			d.stepWith(NewPropose(NewProposal(2, nil)))
			during := d.refusal()
			d.clock = d.clock.Add(defaultElectionTimeout)
			d.confirmLog(1)
			d.tickAfter(0)
			after := d.refusal()
			d.stepWith(NewPropose(NewProposal(3, nil)))
			return requested && errors.Is(during, ErrTransferring) && errors.Is(after, ErrNoTransferTarget) && d.refusal() == nil
		}},
		{name: "a large proposal is refused", run: func(d *nodeDriver) bool {
			d.winElection()
			d.stepWith(NewPropose(NewProposal(1, make([]byte, 100))))
			return errors.Is(d.refusal(), ErrTooLarge)
		}},
		{name: "a follower that does not respond gets a bounded number of bytes", run: func(d *nodeDriver) bool {
			d.options.maxUncommittedEntries, d.options.maxUncommittedBytes, d.options.maxInFlightBytes = 100, 10_000, 300
			d.winElection()
			d.confirmLog(1)
			sent := 0
			for i := range 50 {
				effects := d.stepWith(NewPropose(NewProposal(Tag(i), make([]byte, 60))))
				for _, m := range effects.messages {
					if m.to == "b" {
						sent += sizeOf(m.entries)
					}
				}
			}
			return sent >= 300 && sent <= 400
		}},
		{name: "too many uncommitted proposals are refused", run: func(d *nodeDriver) bool {
			d.winElection()
			d.stepWith(NewPropose(NewProposal(1, nil), NewProposal(2, nil), NewProposal(3, nil)))
			return len(d.effects.accepted) == 2 && errors.Is(d.refusal(), ErrBusy)
		}},
		{name: "a leader whose disk hangs refuses proposals", run: func(d *nodeDriver) bool {
			d.winElection()
			d.stepWith(NewPropose(NewProposal(1, nil), NewProposal(2, nil), NewProposal(3, nil)))
			last := d.log.last()
			d.confirmLog(last)
			d.stepWith(NewReceive(d.messageFrom("c", MessageAppendResponse, d.term).WithPosition(last, 0)))
			d.stepWith(NewPropose(NewProposal(4, nil), NewProposal(5, nil)))
			return d.commit == last && len(d.effects.accepted) == 1 && errors.Is(d.refusal(), ErrBusy)
		}},
		{name: "a peer that returns gets the snapshot again at once", run: func(d *nodeDriver) bool {
			d.winElection()
			d.confirmLog(1)
			d.stepWith(NewPropose(NewProposal(1, nil), NewProposal(2, nil)))
			d.options.retainedEntries = 0
			d.syncWrites()
			d.confirmLog(3)
			d.stepWith(NewCompact(3, nil))
			d.clock = d.clock.Add(defaultElectionTimeout / 2)
			d.confirmLog(3)
			d.tickAfter(defaultElectionTimeout / 2)
			sent := len(d.sentMessages(MessageInstallSnapshot))
			m := d.messageFrom("c", MessageAppendResponse, d.term)
			d.stepWith(NewReceive(m))
			again := len(d.sentMessages(MessageInstallSnapshot))
			d.stepWith(NewReceive(m))
			return sent == 1 && again == 1 && len(d.sentMessages(MessageInstallSnapshot)) == 0
		}},
		{name: "a message holds no more than the limit", run: func(d *nodeDriver) bool {
			d.winElection()
			d.stepWith(NewPropose(NewProposal(1, make([]byte, 60)), NewProposal(2, make([]byte, 60))))
			d.confirmLog(1)
			got := d.sentMessages(MessageAppend)
			return len(got) == 2 && len(got[0].entries) == 1 && len(got[1].entries) == 1
		}},
		{name: "a message for the disk that was lost is dropped", run: func(d *nodeDriver) bool {
			m := d.messageFrom("b", MessageVote, 1)
			m.toDisk = 9
			d.stepWith(NewReceive(m))
			return len(d.effects.writes) == 0 && d.term == 0
		}},
		{name: "a message from a disk that was replaced is dropped", run: func(d *nodeDriver) bool {
			m := d.messageFrom("b", MessageAppend, 1)
			m.fromDisk = 9
			d.stepWith(NewReceive(m))
			return d.term == 0 && d.leader == ""
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newNodeDriver(t, tc.log...)
			if !tc.run(d) {
				t.Errorf("role %v, term %d, commit %d, members %v, last effects %+v",
					d.role, d.term, d.commit, d.members(), d.effects)
			}
		})
	}
}
