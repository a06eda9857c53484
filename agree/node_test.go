package agree

import (
	"errors"
	"slices"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// drive steps one node, a, of the voters a, b and c, whose disks are 1, 2
// and 3.
type drive struct {
	*Node
	t   *testing.T
	at  time.Time
	out Effects
}

var trio = NewMembers(NewMember("a", "", 1, true), NewMember("b", "", 2, true), NewMember("c", "", 3, true))

func newDrive(t *testing.T, entries ...Entry) *drive {
	term := Term(0)
	if len(entries) > 0 {
		term = entries[len(entries)-1].term
	}
	r := NewPersistentState(1, NewHardState(term, "", trio), ident.None[Snapshot](), entries)
	return &drive{Node: New("a", r, WithMaxMessageBytes(100), WithMaxUncommitted(3, 1000)), t: t, at: time.Unix(0, 0)}
}

func (d *drive) feed(input Input) Effects {
	d.out = d.Step(d.at, input)
	return d.out
}

// sync reports all writes as durable.
func (d *drive) sync() Effects { return d.feed(NewSynced(d.saved.number)) }

func (d *drive) pass(after time.Duration) Effects {
	d.at = d.at.Add(after)
	return d.feed(Tick{})
}

// from returns a message of b or c.
func (d *drive) from(host ident.Host, kind MessageKind, term Term) Message {
	m, _ := trio.Find(host)
	return NewMessage(kind, term, host, "a", m.disk, 1)
}

// elect makes the node leader with the vote of b.
func (d *drive) elect() {
	d.pass(0)
	d.pass(2 * defaultElectionTimeout)
	d.feed(NewReceive(d.from("b", MessagePreVoteResponse, d.term+1)))
	d.sync()
	d.feed(NewReceive(d.from("b", MessageVoteResponse, d.term)))
	d.sync()
	if d.role != Leader {
		d.t.Fatalf("role = %v after an election", d.role)
	}
}

// confirm delivers b's confirmation of the log up to a revision.
func (d *drive) confirm(revision ident.Revision) Effects {
	return d.feed(NewReceive(d.from("b", MessageAppendResponse, d.term).WithPosition(revision, 0)))
}

func (d *drive) refusal() error {
	if len(d.out.refusals) == 0 {
		return nil
	}
	return d.out.refusals[0].err
}

// answers returns the messages of a kind in the last effects.
func (d *drive) answers(kind MessageKind) []Message {
	return slices.DeleteFunc(slices.Clone(d.out.messages), func(m Message) bool { return m.kind != kind })
}

func empties(terms ...Term) []Entry {
	var out []Entry
	for i, term := range terms {
		out = append(out, NewEntry(ident.Revision(i+1), term, EntryNoOp, nil))
	}
	return out
}

// Guards against rules of the protocol that random schedules seldom reach.
func TestNode(t *testing.T) {
	cases := []struct {
		name string
		log  []Entry
		run  func(d *drive) bool
	}{
		{name: "a vote after a refusal in the same term is written before it is sent", log: empties(1), run: func(d *drive) bool {
			d.feed(NewReceive(d.from("b", MessageVote, 2).WithPosition(0, 0)))
			d.sync()
			d.feed(NewReceive(d.from("c", MessageVote, 2).WithPosition(1, 1)))
			early := len(d.answers(MessageVoteResponse))
			written := len(d.out.writes) == 1 && d.out.writes[0].hard.vote == "c"
			d.sync()
			return early == 0 && written && len(d.answers(MessageVoteResponse)) == 1
		}},
		{name: "an entry of an earlier term is not committed by counting copies", log: empties(1), run: func(d *drive) bool {
			d.elect()
			d.confirm(1)
			before := d.commit
			d.confirm(2)
			return before == 0 && d.commit == 2
		}},
		{name: "no membership change before an entry of the term is committed", run: func(d *drive) bool {
			d.elect()
			d.feed(NewChangeMember(1, ChangeAdd, NewMember("d", "", 4, false)))
			return errors.Is(d.refusal(), ErrChangePending)
		}},
		{name: "one membership change at a time", run: func(d *drive) bool {
			d.elect()
			d.confirm(1)
			d.feed(NewChangeMember(1, ChangeAdd, NewMember("d", "", 4, false)))
			first := d.refusal()
			d.feed(NewChangeMember(2, ChangeAdd, NewMember("e", "", 5, false)))
			return first == nil && errors.Is(d.refusal(), ErrChangePending)
		}},
		{name: "a name in use is not given to another disk", run: func(d *drive) bool {
			d.elect()
			d.confirm(1)
			d.feed(NewChangeMember(1, ChangeAdd, NewMember("b", "", 9, false)))
			return errors.Is(d.refusal(), ErrInvalidChange)
		}},
		{name: "a learner that lags is not promoted", run: func(d *drive) bool {
			d.elect()
			d.confirm(1)
			d.feed(NewChangeMember(1, ChangeAdd, NewMember("d", "", 4, false)))
			d.sync()
			d.confirm(2)
			d.at = d.at.Add(defaultElectionTimeout)
			d.confirm(2)
			d.feed(NewChangeMember(2, ChangePromote, NewMember("d", "", 4, false)))
			return errors.Is(d.refusal(), ErrNotCaughtUp)
		}},
		{name: "a dropped membership change is not in force", run: func(d *drive) bool {
			added := NewMembersEntry(1, 1, trio.With(NewMember("d", "", 4, true)))
			d.feed(NewReceive(d.from("b", MessageAppend, 1).WithEntries([]Entry{added})))
			during := d.members().Len()
			d.feed(NewReceive(d.from("c", MessageAppend, 2).WithEntries(empties(2))))
			return during == 4 && d.members().Len() == 3
		}},
		{name: "an installed snapshot brings its membership", run: func(d *drive) bool {
			s := NewSnapshot(5, 1, trio.Without("c"), nil)
			d.feed(NewReceive(d.from("b", MessageInstallSnapshot, 1).WithSnapshot(s)))
			return d.members().Len() == 2 && d.commit == 5
		}},
		{name: "a heartbeat in a new term is answered only when the term is durable", run: func(d *drive) bool {
			d.feed(NewReceive(d.from("b", MessageAppend, 1)))
			early := len(d.answers(MessageAppendResponse))
			d.sync()
			return early == 0 && len(d.answers(MessageAppendResponse)) == 1
		}},
		{name: "a heartbeat during a slow sync is answered with what is durable", run: func(d *drive) bool {
			d.feed(NewReceive(d.from("b", MessageAppend, 1)))
			d.sync()
			d.feed(NewReceive(d.from("b", MessageAppend, 1).WithEntries(empties(1))))
			d.feed(NewReceive(d.from("b", MessageAppend, 1).WithPosition(1, 1)))
			got := d.answers(MessageAppendResponse)
			return len(got) == 1 && got[0].revision == 0
		}},
		{name: "a voter with a live leader takes no part in elections", run: func(d *drive) bool {
			d.feed(NewReceive(d.from("b", MessageAppend, 1)))
			d.sync()
			d.feed(NewReceive(d.from("c", MessagePreVote, 2)))
			refused := len(d.answers(MessagePreVoteResponse)) == 1 && d.out.messages[0].reject
			d.feed(NewReceive(d.from("c", MessageVote, 2)))
			return refused && d.term == 1
		}},
		{name: "a voter whose leader is silent takes part in elections", run: func(d *drive) bool {
			d.feed(NewReceive(d.from("b", MessageAppend, 1)))
			d.at = d.at.Add(defaultElectionTimeout)
			d.feed(NewReceive(d.from("c", MessagePreVote, 2)))
			return len(d.answers(MessagePreVoteResponse)) == 1 && !d.out.messages[0].reject && d.term == 1
		}},
		{name: "a host that was cut off does not raise its term", run: func(d *drive) bool {
			for range 10 {
				d.pass(2 * defaultElectionTimeout)
			}
			return d.term == 0 && d.role == PreCandidate
		}},
		{name: "a leader without answers steps down and refuses its barriers", run: func(d *drive) bool {
			d.elect()
			d.confirm(1)
			d.feed(NewReadBarrier(7))
			d.pass(defaultElectionTimeout)
			return d.role == Follower && errors.Is(d.refusal(), ErrNotLeader)
		}},
		{name: "a transfer that fails leaves the leader in office", run: func(d *drive) bool {
			d.elect()
			d.confirm(1)
			d.feed(NewTransferLeadership(1, "b"))
			asked := len(d.answers(MessageTimeoutNow)) == 1
			d.feed(NewPropose(NewProposal(2, nil)))
			during := d.refusal()
			d.at = d.at.Add(defaultElectionTimeout)
			d.confirm(1)
			d.pass(0)
			after := d.refusal()
			d.feed(NewPropose(NewProposal(3, nil)))
			return asked && errors.Is(during, ErrTransferring) && errors.Is(after, ErrNoTransferTarget) && d.refusal() == nil
		}},
		{name: "a large proposal is refused", run: func(d *drive) bool {
			d.elect()
			d.feed(NewPropose(NewProposal(1, make([]byte, 100))))
			return errors.Is(d.refusal(), ErrTooLarge)
		}},
		{name: "too many uncommitted proposals are refused", run: func(d *drive) bool {
			d.elect()
			d.feed(NewPropose(NewProposal(1, nil), NewProposal(2, nil), NewProposal(3, nil)))
			return len(d.out.accepted) == 2 && errors.Is(d.refusal(), ErrBusy)
		}},
		{name: "a leader whose disk hangs refuses proposals", run: func(d *drive) bool {
			d.elect()
			d.feed(NewPropose(NewProposal(1, nil), NewProposal(2, nil), NewProposal(3, nil)))
			last := d.log.last()
			d.confirm(last)
			d.feed(NewReceive(d.from("c", MessageAppendResponse, d.term).WithPosition(last, 0)))
			d.feed(NewPropose(NewProposal(4, nil), NewProposal(5, nil)))
			return d.commit == last && len(d.out.accepted) == 1 && errors.Is(d.refusal(), ErrBusy)
		}},
		{name: "a peer that returns gets the snapshot again at once", run: func(d *drive) bool {
			d.elect()
			d.confirm(1)
			d.feed(NewPropose(NewProposal(1, nil), NewProposal(2, nil)))
			d.options.retained = 0
			d.sync()
			d.confirm(3)
			d.feed(NewCompact(3, nil))
			d.at = d.at.Add(defaultElectionTimeout / 2)
			d.confirm(3)
			d.pass(defaultElectionTimeout / 2)
			sent := len(d.answers(MessageInstallSnapshot))
			m := d.from("c", MessageAppendResponse, d.term)
			d.feed(NewReceive(m))
			again := len(d.answers(MessageInstallSnapshot))
			d.feed(NewReceive(m))
			return sent == 1 && again == 1 && len(d.answers(MessageInstallSnapshot)) == 0
		}},
		{name: "a message holds no more than the limit", run: func(d *drive) bool {
			d.elect()
			d.feed(NewPropose(NewProposal(1, make([]byte, 60)), NewProposal(2, make([]byte, 60))))
			d.confirm(1)
			got := d.answers(MessageAppend)
			return len(got) == 2 && len(got[0].entries) == 1 && len(got[1].entries) == 1
		}},
		{name: "a message for the disk that was lost is dropped", run: func(d *drive) bool {
			m := d.from("b", MessageVote, 1)
			m.toDisk = 9
			d.feed(NewReceive(m))
			return len(d.out.writes) == 0 && d.term == 0
		}},
		{name: "a message from a disk that was replaced is dropped", run: func(d *drive) bool {
			m := d.from("b", MessageAppend, 1)
			m.fromDisk = 9
			d.feed(NewReceive(m))
			return d.term == 0 && d.leader == ""
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newDrive(t, tc.log...)
			if !tc.run(d) {
				t.Errorf("role %v, term %d, commit %d, members %v, last effects %+v",
					d.role, d.term, d.commit, d.members(), d.out)
			}
		})
	}
}
