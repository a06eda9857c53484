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

func acquireArgs(region ident.Region, slotRequest steer.SlotRequest, now time.Time) *SlotAcquireArgs {
	avoid := make([]string, len(slotRequest.Avoid()))
	for i, t := range slotRequest.Avoid() {
		avoid[i] = string(t)
	}
	return &SlotAcquireArgs{
		Region: string(region), Holder: holderRecord(slotRequest.ID().Holder()), Number: slotRequest.ID().Number(),
		Service: string(slotRequest.Service()), Team: string(slotRequest.Team()), Class: string(slotRequest.Class().Name()),
		Urgent: slotRequest.Class().Urgent(), QueueBound: slotRequest.Class().QueueLength(),
		LongestWait: slotRequest.Class().MaxWait(), Remaining: slotRequest.Deadline().Sub(now),
		Weight: slotRequest.Weight(), Zone: string(slotRequest.Zone()), Fingerprint: slotRequest.Fingerprint(), Avoid: avoid,
	}
}

func (a *SlotAcquireArgs) request(now time.Time) steer.SlotRequest {
	avoid := make([]ident.Target, len(a.Avoid))
	for i, t := range a.Avoid {
		avoid[i] = ident.Target(t)
	}
	class := steer.NewClass(ident.Class(a.Class), a.Urgent, a.QueueBound, a.LongestWait)
	return steer.NewSlotRequest(a.id(), ident.Service(a.Service), ident.Team(a.Team), class, now.Add(a.Remaining),
		steer.WithWeight(a.Weight), steer.WithZone(ident.Zone(a.Zone)),
		steer.WithFingerprint(a.Fingerprint), steer.WithAvoid(avoid...))
}

func (a *SlotAcquireArgs) id() steer.SlotRequestID {
	return steer.NewSlotRequestID(a.Holder.holder(), a.Number)
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

func (a *SlotOpenArgs) holdings() steer.Holdings {
	open := make([]steer.OpenGrant, len(a.Open))
	for i, g := range a.Open {
		open[i] = steer.NewOpenGrant(g.Number, ident.Service(g.Service), ident.Target(g.Target), g.Fingerprint, g.Age)
	}
	return steer.NewHoldings(a.Holder.holder(), a.Sequence, a.Last, open, a.Waiting)
}
