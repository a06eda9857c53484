package main

import (
	"fmt"
	"time"
)

const (
	// comeTime is the time until a host that is gone for good has a successor.
	comeTime = time.Second
	// afterCatchUp is the time from the end of the successor's CatchUpS to the loss
	// of the disks.
	afterCatchUp = 300 * time.Millisecond
)

// replacedHost ends a control host for good and starts its successor. Once that has
// had its time, two other control hosts lose their disks.
func replacedHost(f *fleet, isTroubled bool) (bool, error) {
	if _, err := startServers(f, 4, false); err != nil {
		return false, err
	}
	for range removedControls {
		f.addControl()
	}
	for range removedEntries {
		f.addEntry()
	}
	for i, p := range append(append([]*process(nil), f.controls...), f.entries...) {
		if err := f.start(p, i, true); err != nil {
			return false, err
		}
	}
	if !f.put(1, 15*time.Second) || !f.awaitReady(15*time.Second) {
		return false, fmt.Errorf("the system does not become ready")
	}
	time.Sleep(contactTime)
	if isTroubled {
		gone := f.controls[4]
		f.note("%s is gone for good", gone.name)
		f.kill(gone)
		time.Sleep(comeTime)
		if err := f.start(f.addControl(), len(f.controls)-1, false); err != nil {
			return false, err
		}
		time.Sleep(catchUpTime - time.Second)
	}
	if !f.put(2, 10*time.Second) {
		return false, fmt.Errorf("a change is not acknowledged before the disks are lost")
	}
	if isTroubled {
		time.Sleep(time.Second + afterCatchUp)
		if err := f.loseDisks(f.controls[1], f.controls[2]); err != nil {
			return false, err
		}
		time.Sleep(recoveryTime)
	}
	return f.readBack(2, recoveryTime), nil
}
