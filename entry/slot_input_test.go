package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/steer"
)

// Guards against inputs that are lost by the host that owns the region or by
// one that takes it over later. Each case states how many of six requests are
// granted by two targets with three slots and one slot.
func TestInputs(t *testing.T) {
	mark := func(fingerprint byte) []guard.Mark {
		return []guard.Mark{guard.NewMark(ident.Fingerprint{fingerprint}, 2, time.Unix(1<<40, 0))}
	}
	both := ident.NewSet[ident.Target]("t0", "t1")
	cases := []struct {
		name string
		set  func(o *SlotOwner)
		want int
	}{
		{name: "none", set: func(*SlotOwner) {}, want: 4},
		{name: "drain", set: func(o *SlotOwner) { o.SetDrains(testRegion, ident.NewSet[ident.Target]("t0")) }, want: 1},
		{name: "ended drain", set: func(o *SlotOwner) {
			o.SetDrains(testRegion, both)
			o.SetDrains(testRegion, ident.NewSet[ident.Target]())
		}, want: 4},
		{name: "empty list", set: func(o *SlotOwner) { o.SetTargets(testRegion, nil) }, want: 0},
		{name: "capacity", set: func(o *SlotOwner) { o.SetCapacity(testRegion, 3) }, want: 3},
		{name: "headroom", set: func(o *SlotOwner) {
			o.SetServices(testRegion, []steer.Service{steer.NewService("s", 0.5, 0)})
		}, want: 2},
		{name: "ban", set: func(o *SlotOwner) { o.ImportMarks(mark(1)) }, want: 0},
		{name: "ban dropped from the view", set: func(o *SlotOwner) { o.ImportMarks(mark(1)); o.ImportMarks(nil) }, want: 4},
		{name: "ban of another request", set: func(o *SlotOwner) { o.ImportMarks(mark(2)) }, want: 4},
	}
	for _, tc := range cases {
		for _, before := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the takeover = %t", tc.name, before), func(t *testing.T) {
				f := newFleet(t, 1, firstCalls(deliver, "", 0))
				f.setTargets(3, 1)
				if before {
					tc.set(f.owners[0])
				}
				f.assign(0)
				f.advanceUntil("the owner is open", func() bool { return f.status().IsOpen() })
				if !before {
					tc.set(f.owners[0])
				}
				for n := range uint64(6) {
					f.owners[0].ref.Tell(slotAcquire{args: &SlotAcquireArgs{
						Region: string(testRegion), Holder: SlotHolder{Host: "h0", Incarnation: 1}, Number: n + 1, Service: "s",
						QueueBound: 9, Remaining: time.Hour, Weight: 1, Fingerprint: ident.Fingerprint{1},
					}})
				}
				if got := f.status().InFlight(); got != tc.want {
					t.Errorf("%d of 6 granted, want %d", got, tc.want)
				}
			})
		}
	}
}

// Guards against slots that stay in use after their process has ended, and
// against the loss of slots of a process that continues.
func TestEndedProcess(t *testing.T) {
	h0, h1 := NewMember("h0", 1, testRegion, ""), NewMember("h1", 1, testRegion, "")
	cases := []struct {
		name    string
		members []Member
		want    int
	}{
		{name: "both go on", members: []Member{h0, h1}, want: 1},
		{name: "the holder has left", members: []Member{h0}, want: 0},
		{name: "the holder has restarted", members: []Member{h0, NewMember("h1", 2, testRegion, "")}, want: 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 2, firstCalls(deliver, "", 0))
			f.setTargets(1)
			f.assign(0)
			f.advanceUntil("the owner is open", func() bool { return f.status().IsOpen() })
			if _, err := f.clients[1].Acquire(context.Background(), f.slotRequest(time.Hour)); err != nil {
				t.Fatal(err)
			}
			roles := map[Role]Assignment{SlotRole(testRegion): NewAssignment("h0", 1, f.epoch)}
			f.owners[0].Update(NewMembers("h0", 1, 2, f.clock.Now().Add(f.lease), tc.members, roles))
			if got := f.status().InFlight(); got != tc.want {
				t.Errorf("%d slots in use, want %d", got, tc.want)
			}
		})
	}
}
