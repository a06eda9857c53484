package entry

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/steer"
)

// Methods of the service Slots.
const (
	slotService       = "Slots"
	slotAcquireMethod = "Slots.Acquire"
	slotReleaseMethod = "Slots.Release"
	slotOpenMethod    = "Slots.Open"
)

// Statuses of the replies of the service Slots.
const (
	statusDone     = "done"
	statusGranted  = "granted"
	statusRefused  = "refused"
	statusNotOwner = "not-owner"
	statusUnmarked = "unmarked"
)

// SlotHolder identifies the calling process.
type SlotHolder struct {
	Host        string
	Incarnation uint64
}

// SlotAcquireArgs is the argument of the call Slots.Acquire. It has the
// remaining time instead of the deadline, because the clocks of hosts differ.
type SlotAcquireArgs struct {
	Region      string
	Holder      SlotHolder
	Number      uint64
	Service     string
	Team        string
	Class       string
	Urgent      bool
	QueueBound  int
	LongestWait time.Duration
	Remaining   time.Duration
	Weight      int
	Zone        string
	Fingerprint [32]byte
	Avoid       []string
}

// SlotAcquireReply is the result of the call Slots.Acquire.
type SlotAcquireReply struct {
	Status     string
	Epoch      uint64
	Target     string
	Address    string
	Reason     string
	RetryAfter time.Duration
}

// SlotReleaseArgs is the argument of the call Slots.Release.
type SlotReleaseArgs struct {
	Region  string
	Holder  SlotHolder
	Number  uint64
	Ending  string
	Latency time.Duration
}

// SlotOpenArgs is the argument of the call Slots.Open: a complete report of
// what the holder has in a region.
type SlotOpenArgs struct {
	Region   string
	Epoch    uint64
	Holder   SlotHolder
	Sequence uint64
	Last     uint64
	Open     []SlotOpenGrant
	Waiting  []uint64
}

// SlotOpenGrant is a grant in use.
type SlotOpenGrant struct {
	Number      uint64
	Service     string
	Target      string
	Fingerprint [32]byte
	Age         time.Duration
}

// SlotReply is the result of the calls Slots.Release and Slots.Open.
type SlotReply struct {
	Status string
}

func holderRecord(h steer.Holder) SlotHolder {
	return SlotHolder{Host: string(h.Host()), Incarnation: uint64(h.Incarnation())}
}

func (h SlotHolder) holder() steer.Holder {
	return steer.NewHolder(ident.Host(h.Host), ident.Incarnation(h.Incarnation))
}

func acquireArgs(r ident.Region, a steer.SlotRequest, now time.Time) *SlotAcquireArgs {
	avoid := make([]string, len(a.Avoid()))
	for i, t := range a.Avoid() {
		avoid[i] = string(t)
	}
	return &SlotAcquireArgs{
		Region: string(r), Holder: holderRecord(a.ID().Holder()), Number: a.ID().Number(),
		Service: string(a.Service()), Team: string(a.Team()), Class: string(a.Class().Name()),
		Urgent: a.Class().Urgent(), QueueBound: a.Class().QueueLength(),
		LongestWait: a.Class().MaxWait(), Remaining: a.Deadline().Sub(now),
		Weight: a.Weight(), Zone: string(a.Zone()), Fingerprint: a.Fingerprint(), Avoid: avoid,
	}
}

func (r *SlotAcquireArgs) request(now time.Time) steer.SlotRequest {
	avoid := make([]ident.Target, len(r.Avoid))
	for i, t := range r.Avoid {
		avoid[i] = ident.Target(t)
	}
	class := steer.NewClass(ident.Class(r.Class), r.Urgent, r.QueueBound, r.LongestWait)
	return steer.NewSlotRequest(r.id(), ident.Service(r.Service), ident.Team(r.Team), class, now.Add(r.Remaining),
		steer.WithWeight(r.Weight), steer.WithZone(ident.Zone(r.Zone)),
		steer.WithFingerprint(r.Fingerprint), steer.WithAvoid(avoid...))
}

func (r *SlotAcquireArgs) id() steer.SlotRequestID {
	return steer.NewSlotRequestID(r.Holder.holder(), r.Number)
}

func (r *SlotReleaseArgs) id() steer.SlotRequestID {
	return steer.NewSlotRequestID(r.Holder.holder(), r.Number)
}

func (r *SlotReleaseArgs) result() steer.Result {
	return steer.NewResult(steer.Outcome(r.Ending), r.Latency)
}

// acquireReply encodes a decision other than Queued.
func acquireReply(d steer.Decision, e ident.Epoch) SlotAcquireReply {
	reply := SlotAcquireReply{Epoch: uint64(e)}
	switch d := d.(type) {
	case steer.Granted:
		reply.Status, reply.Target, reply.Address = statusGranted, string(d.Target()), d.Address()
	case steer.Refused:
		reply.Status, reply.Reason, reply.RetryAfter = statusRefused, string(d.Reason()), d.RetryAfter()
	}
	return reply
}

func (r *SlotOpenArgs) holdings() steer.Holdings {
	open := make([]steer.OpenGrant, len(r.Open))
	for i, g := range r.Open {
		open[i] = steer.NewOpenGrant(g.Number, ident.Service(g.Service), ident.Target(g.Target), g.Fingerprint, g.Age)
	}
	return steer.NewHoldings(r.Holder.holder(), r.Sequence, r.Last, open, r.Waiting)
}
