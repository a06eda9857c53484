package entry

import (
	"context"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// report sends the complete holdings of a region to its owner.
func (t *slotClientTask) report(now time.Time, r ident.Region, h *heldRegion) {
	if h.reporting && h.fence == h.role.Epoch() || h.role.Epoch() == 0 {
		return
	}
	h.reporting = true
	h.sequence++
	h.fence = max(h.fence, h.role.Epoch())
	h.nextAt = now.Add(slotReportInterval)
	args := t.holdings(now, r, h)
	h.dirty = len(args.Open)+len(args.Waiting) > 0
	host, epoch := h.role.Host(), h.role.Epoch()
	t.call(slotCallTimeout, func(ctx context.Context) any {
		var reply SlotReply
		err := t.peers.Call(ctx, host, slotOpenMethod, args, &reply)
		return slotReported{region: r, epoch: epoch, status: reply.Status, err: err}
	})
}

func (t *slotClientTask) holdings(now time.Time, r ident.Region, h *heldRegion) *SlotOpenArgs {
	args := &SlotOpenArgs{
		Region: string(r), Epoch: uint64(h.role.Epoch()), Holder: holderRecord(t.holder()),
		Sequence: h.sequence, Last: t.last,
	}
	for _, c := range t.calls {
		if c.ask.region != r {
			continue
		}
		if c.phase == phaseWaiting {
			args.Waiting = append(args.Waiting, c.number)
			continue
		}
		args.Open = append(args.Open, SlotOpenGrant{
			Number: c.number, Service: string(c.ask.ask.Service()), Target: string(c.grant.target),
			Fingerprint: c.ask.ask.Fingerprint(), Age: now.Sub(c.since),
		})
	}
	slices.Sort(args.Waiting)
	slices.SortFunc(args.Open, func(a, b SlotOpenGrant) int { return int(a.Number) - int(b.Number) })
	return args
}

// reported takes the answer to a report. A report that was not accepted is
// repeated with the next tick.
func (t *slotClientTask) reported(m slotReported) {
	h := t.region(m.region)
	if m.epoch != h.role.Epoch() {
		return
	}
	h.reporting = false
	if m.err != nil || m.status != statusDone {
		h.dirty = true
		return
	}
	h.accepted = max(h.accepted, m.epoch)
}

func (t *slotClientTask) use() SlotUsage {
	var u SlotUsage
	for _, c := range t.calls {
		if c.phase == phaseWaiting {
			u.waiting++
		} else {
			u.open++
		}
	}
	return u
}
