// Command replaced plays the case in which one of three control machines is
// replaced and another one loses its disk later.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"stand2/fleet"
)

func main() { os.Exit(fleet.Play(1, 6, play)) }

// play plays the case. With trouble 0 nothing is disrupted; with "replace" and
// "disk" only one of the two disruptions comes.
func play(ctx context.Context, f *fleet.Fleet, trouble string) (int, error) {
	record := f.Record
	if err := fleet.StartPlatform(f, func() []*fleet.Server { return nil }); err != nil {
		return fleet.Failed, err
	}
	a, b, c := f.Add("core-a", "zone-a", "control"), f.Add("core-b", "zone-b", "control"), f.Add("core-c", "zone-c", "control")
	f.SetSeeds(a, b, c)
	for _, m := range []*fleet.Machine{a, b, c} {
		if err := m.Start(); err != nil {
			return fleet.Failed, err
		}
	}
	f.EndFirstStart()
	operator := fleet.NewOperator(record, a, b, c)
	if !operator.Put(ctx, 20*time.Second, config(1)) {
		return fleet.Failed, fmt.Errorf("the first configuration is not acknowledged")
	}
	fleet.Sleep(ctx, fleet.ContactTime)
	control := []*fleet.Machine{a, b, c}
	if trouble != "0" && trouble != "disk" {
		record.Printf("core-a is gone for good; an empty machine comes 1 s later at another address")
		a.Kill()
		fleet.Sleep(ctx, time.Second)
		n := f.Add("core-d", "zone-a", "control")
		f.SetSeeds(n, b, c)
		if err := n.Start(); err != nil {
			return fleet.Failed, err
		}
		control = []*fleet.Machine{n, b, c}
		operator.SetControl(control...)
	}
	fleet.Sleep(ctx, 3*fleet.CatchUpTime)
	if !operator.Put(ctx, 20*time.Second, config(2)) {
		return fleet.Failed, fmt.Errorf("the second configuration is not acknowledged")
	}
	fleet.Sleep(ctx, fleet.ContactTime)
	if trouble != "0" && trouble != "replace" {
		b.Kill()
		if err := b.LoseDisk(); err != nil {
			return fleet.Failed, err
		}
		fleet.Sleep(ctx, time.Second)
		if err := b.Start(); err != nil {
			return fleet.Failed, err
		}
	}
	fleet.Sleep(ctx, fleet.RecoveryTime)
	newest := operator.ReadBack(ctx, 5*fleet.ContactTime)
	acknowledged := operator.Put(ctx, 4*fleet.AckTime, config(3))
	if newest < 2 {
		record.Printf("BROKEN: version 00000002 was acknowledged; read back after %v: %08x; a new change is acknowledged: %t",
			fleet.RecoveryTime, newest, acknowledged)
		return fleet.Broken, nil
	}
	record.Printf("HELD: version %08x is read back; a new change is acknowledged: %t", newest, acknowledged)
	return fleet.Held, nil
}

func config(version uint64) fleet.Config {
	return fleet.Config{
		Version:  version,
		Routes:   []fleet.Route{{Name: "r-1", Kind: "safe", Prefix: "/a/", Service: "svc", TimeoutMs: 1500, Attempts: 2}},
		Services: []string{"svc"},
	}
}
