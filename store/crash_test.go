package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
)

// restart opens the log after a loss of power or the end of the process. The
// machine may fail again while the log is opened.
func (d *logDriver) restart(random *rand.Rand) (directoryContent, error) {
	for attempt := range 3 {
		if random.IntN(2) == 0 {
			d.files.losePower(random)
		} else {
			d.files.kill()
		}
		if attempt < 2 && random.IntN(2) == 0 {
			d.files.operationsLeft = 1 + random.IntN(12)
		}
		restored, err := d.open()
		if err == nil {
			d.files.operationsLeft = -1
			return contentOf(restored), nil
		}
		if !errors.Is(err, errPowerLoss) {
			return directoryContent{}, err
		}
	}
	return directoryContent{}, errors.New("the log was not opened")
}

// Guards against the loss of data that was synced, or that an earlier Open has
// returned, and against a mix of old and new content: after a loss of power or the
// end of the process at any operation, Open included, with each change that was
// not synced kept, lost or torn on its own.
func TestCrash(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 4000
	checkProperty(parameters, t, func(first, second []uint16, seed uint64) string {
		d, random := newLogDriver(), rand.New(rand.NewPCG(seed, 0))
		for _, actions := range [][]uint16{first, second, nil} {
			for _, action := range actions {
				d.perform(action)
			}
			got, err := d.restart(random)
			if err != nil {
				return err.Error()
			}
			if !slices.Contains(d.allowed, got.String()) {
				return fmt.Sprintf("got %s, want one of %q", got, d.allowed)
			}
			if got.last() < got.snapshot.Revision() {
				return fmt.Sprintf("entries up to %d lack snapshot %d", got.last(), got.snapshot.Revision())
			}
			d.current = got
			d.confirmDurable(nil)
		}
		return ""
	}, gen.SliceOf(gen.UInt16()), gen.SliceOf(gen.UInt16()), gen.UInt64())
}

// TestRestartAfterFailedSync guards against entries that Open returns although a
// failed sync has dropped them: the system may report success for the next sync
// of the file without having written them.
func TestRestartAfterFailedSync(t *testing.T) {
	entry := func(revision ident.Revision) []agree.Entry {
		return []agree.Entry{agree.NewEntry(revision, 1, agree.EntryData, []byte("x"))}
	}
	d := newLogDriver()
	if err := errors.Join(d.log.Append(d.hard(), entry(1)), d.log.Sync(), d.log.Append(d.hard(), entry(2))); err != nil {
		t.Fatal(err)
	}
	d.files.failSyncs = true
	if err := d.log.Sync(); !errors.Is(err, errMedia) {
		t.Fatalf("Sync error = %v, want %v", err, errMedia)
	}
	d.files.failSyncs = false
	d.files.kill()
	before, err := d.open()
	if err != nil {
		t.Fatal(err)
	}
	d.files.losePower(rand.New(rand.NewPCG(1, 1)))
	after, err := d.open()
	if got, want := contentOf(after).String(), contentOf(before).String(); err != nil || got != want {
		t.Errorf("after a loss of power: %s, %v; an earlier Open returned %s", got, err, want)
	}
}
