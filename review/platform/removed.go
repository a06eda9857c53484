package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	removedControls = 5
	removedEntries  = 2
	// darkTime is how long the host that is removed has no power.
	darkTime = 7 * time.Second
	// handOver is the time from the start of the new host of a planned replacement
	// to the SIGTERM of the old one.
	handOver = 4 * time.Second
	// graceTime is GraceS and catchUpTime CatchUpS of the settings.
	graceTime   = 6 * time.Second
	catchUpTime = 4 * time.Second
	// recoveryTime is RecoveryS of the settings.
	recoveryTime = 15 * time.Second
)

// removedHost takes the power from a control host while another one is replaced as
// planned. When both have long ended, two other control hosts lose their disks.
func removedHost(f *fleet, isTroubled bool) (bool, error) {
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
		if err := f.replaceDuringLoss(); err != nil {
			return false, err
		}
	}
	if !f.put(2, 10*time.Second) {
		return false, fmt.Errorf("a change is not acknowledged before the disks are lost")
	}
	if isTroubled {
		if err := f.loseDisks(f.controls[1], f.controls[2]); err != nil {
			return false, err
		}
		time.Sleep(recoveryTime)
	}
	return f.readBack(2, recoveryTime), nil
}

// replaceDuringLoss takes the power from the fourth control host for darkTime, and
// meanwhile replaces the fifth one by a new one.
func (f *fleet) replaceDuringLoss() error {
	dark, old := f.controls[3], f.controls[4]
	f.note("%s has no power", dark.name)
	f.kill(dark)
	darkUntil := time.Now().Add(darkTime)
	time.Sleep(darkTime - handOver)
	if err := f.start(f.addControl(), len(f.controls)-1, false); err != nil {
		return err
	}
	time.Sleep(time.Until(darkUntil))
	if err := f.start(dark, 3, false); err != nil {
		return err
	}
	f.note("SIGTERM to %s, which was replaced", old.name)
	if err := old.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func(command func() error) { ended <- command() }(old.command.Wait)
	select {
	case <-ended:
	case <-time.After(graceTime):
		_ = old.command.Process.Kill()
		<-ended
	}
	old.command = nil
	f.note("%s has ended", old.name)
	// Both losses have long ended when the disks are lost.
	time.Sleep(3 * catchUpTime)
	return nil
}

// loseDisks takes the power from two control hosts, which come back with empty
// disks.
func (f *fleet) loseDisks(lost ...*process) error {
	for _, p := range lost {
		f.note("%s loses its power and its disk", p.name)
		f.kill(p)
		if err := os.RemoveAll(f.dataFolder(p)); err != nil {
			return err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for i, p := range lost {
		if err := f.start(p, i+1, false); err != nil {
			return err
		}
	}
	return nil
}

// readBack reports whether a control host returns the configuration of a version
// within the limit.
func (f *fleet) readBack(version int, limit time.Duration) bool {
	want := configText(version)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, c := range f.controls {
			if c.command == nil {
				continue
			}
			status, body := f.call(http.MethodGet, fmt.Sprintf("%s:%d", c.ip, controlPort), "/v1/Config.Get", nil)
			f.note("read at %s: %d, %d bytes", c.name, status, len(body))
			if status == http.StatusOK {
				return bytes.Equal(body, want)
			}
		}
	}
	f.note("version %d was acknowledged and does not come", version)
	return false
}
