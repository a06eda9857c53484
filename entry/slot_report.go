package entry

import (
	"context"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// sendReport sends the complete holdings in a region to its owner.
func (t *slotClientTask) sendReport(now time.Time, r ident.Region, o *regionOwner) {
	if o.reportInFlight && o.reportedEpoch == o.assignment.Epoch() || o.assignment.Epoch() == 0 {
		return
	}
	o.reportInFlight = true
	o.sequence++
	o.reportedEpoch = max(o.reportedEpoch, o.assignment.Epoch())
	o.nextReport = now.Add(slotReportInterval)
	args := t.openArgs(now, r, o)
	o.reportNeeded = len(args.Open)+len(args.Waiting) > 0
	host, epoch := o.assignment.Host(), o.assignment.Epoch()
	t.call(slotCallTimeout, func(ctx context.Context) any {
		var reply SlotReply
		err := t.peers.Call(ctx, host, slotOpenMethod, args, &reply)
		return slotReportDone{region: r, epoch: epoch, status: reply.Status, err: err}
	})
}

// openArgs returns the report of the holdings in a region.
func (t *slotClientTask) openArgs(now time.Time, r ident.Region, o *regionOwner) *SlotOpenArgs {
	args := &SlotOpenArgs{
		Region: string(r), Epoch: uint64(o.assignment.Epoch()), Holder: holderRecord(t.holder()),
		Sequence: o.sequence, Last: t.lastNumber,
	}
	for _, a := range t.acquisitions {
		if a.request.region != r {
			continue
		}
		if a.phase == phaseWaiting {
			args.Waiting = append(args.Waiting, a.number)
			continue
		}
		args.Open = append(args.Open, SlotOpenGrant{
			Number: a.number, Service: string(a.request.request.Service()), Target: string(a.grant.target),
			Fingerprint: a.request.request.Fingerprint(), Age: now.Sub(a.grantedAt),
		})
	}
	slices.Sort(args.Waiting)
	slices.SortFunc(args.Open, func(a, b SlotOpenGrant) int { return int(a.Number) - int(b.Number) })
	return args
}

// reportDone handles the reply to a report. A report that was not accepted is
// sent again at the next tick.
func (t *slotClientTask) reportDone(m slotReportDone) {
	o := t.region(m.region)
	if m.epoch != o.assignment.Epoch() {
		return
	}
	o.reportInFlight = false
	if m.err != nil || m.status != statusDone {
		o.reportNeeded = true
		return
	}
	o.acceptedEpoch = max(o.acceptedEpoch, m.epoch)
}

func (t *slotClientTask) usage() SlotUsage {
	var u SlotUsage
	for _, a := range t.acquisitions {
		if a.phase == phaseWaiting {
			u.waiting++
		} else {
			u.open++
		}
	}
	return u
}
