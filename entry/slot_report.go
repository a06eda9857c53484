package entry

import (
	"context"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// sendReport sends the complete holdings in a region to its owner.
func (t *slotClientTask) sendReport(now time.Time, r ident.Region, h *regionOwner) {
	if h.reportInFlight && h.reportedEpoch == h.assignment.Epoch() || h.assignment.Epoch() == 0 {
		return
	}
	h.reportInFlight = true
	h.sequence++
	h.reportedEpoch = max(h.reportedEpoch, h.assignment.Epoch())
	h.nextReport = now.Add(slotReportInterval)
	args := t.openArgs(now, r, h)
	h.dirty = len(args.Open)+len(args.Waiting) > 0
	host, epoch := h.assignment.Host(), h.assignment.Epoch()
	t.call(slotCallTimeout, func(ctx context.Context) any {
		var reply SlotReply
		err := t.peers.Call(ctx, host, slotOpenMethod, args, &reply)
		return slotReportDone{region: r, epoch: epoch, status: reply.Status, err: err}
	})
}

// openArgs returns the report of the holdings in a region.
func (t *slotClientTask) openArgs(now time.Time, r ident.Region, h *regionOwner) *SlotOpenArgs {
	args := &SlotOpenArgs{
		Region: string(r), Epoch: uint64(h.assignment.Epoch()), Holder: holderRecord(t.holder()),
		Sequence: h.sequence, Last: t.lastNumber,
	}
	for _, c := range t.acquisitions {
		if c.request.region != r {
			continue
		}
		if c.phase == phaseWaiting {
			args.Waiting = append(args.Waiting, c.number)
			continue
		}
		args.Open = append(args.Open, SlotOpenGrant{
			Number: c.number, Service: string(c.request.request.Service()), Target: string(c.grant.target),
			Fingerprint: c.request.request.Fingerprint(), Age: now.Sub(c.grantedAt),
		})
	}
	slices.Sort(args.Waiting)
	slices.SortFunc(args.Open, func(a, b SlotOpenGrant) int { return int(a.Number) - int(b.Number) })
	return args
}

// reportDone handles the reply to a report. A report that was not accepted is
// sent again at the next tick.
func (t *slotClientTask) reportDone(m slotReportDone) {
	h := t.region(m.region)
	if m.epoch != h.assignment.Epoch() {
		return
	}
	h.reportInFlight = false
	if m.err != nil || m.status != statusDone {
		h.dirty = true
		return
	}
	h.acceptedEpoch = max(h.acceptedEpoch, m.epoch)
}

func (t *slotClientTask) usage() SlotUsage {
	var u SlotUsage
	for _, c := range t.acquisitions {
		if c.phase == phaseWaiting {
			u.waiting++
		} else {
			u.open++
		}
	}
	return u
}
