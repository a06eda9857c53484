package board

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// TestOriginInLog guards against a revision of which the logs do not tell for which
// order, and by which host, it was proposed.
func TestOriginInLog(t *testing.T) {
	receivedAt := time.Date(2026, 12, 5, 22, 33, 41, 0, time.UTC)
	origin := NewOrigin("order-1", "host-1", receivedAt)
	put, putErr := EncodePut(3, []byte("three"), origin)
	evacuate, evacuateErr := EncodeEvacuate("a", true, origin)
	unknown, unknownErr := EncodeEvacuate("a", false, Origin{})
	if putErr != nil || evacuateErr != nil || unknownErr != nil {
		t.Fatal(putErr, evacuateErr, unknownErr)
	}
	cases := []struct {
		name    string
		command []byte
		want    []string
	}{
		{"configuration", put, []string{"revision=7", "version=3", "origin.order=order-1", "origin.host=host-1", "origin.received-at=2026-12-05T22:33:41.000Z"}},
		{"evacuation", evacuate, []string{"revision=7", "zone=a", "begin=true", "origin.order=order-1", "origin.host=host-1"}},
		{"order of an earlier release", unknown, []string{"revision=7", "zone=a", "begin=false", "origin=unknown"}},
	}
	for _, c := range cases {
		var out bytes.Buffer
		b := New(func(ident.Revision, scheme.DesiredState) {}, WithLogger(slog.New(slog.NewTextHandler(&out, nil))))
		b.Apply(7, c.command)
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: no %s in %s", c.name, want, out.String())
			}
		}
	}
}

// TestCommandOfEarlierRelease guards against commands that a host of an earlier
// release cannot decode, or that it understands in another way.
func TestCommandOfEarlierRelease(t *testing.T) {
	type earlierRecord struct {
		Version uint64 `msgpack:"version,omitempty"`
		Source  []byte `msgpack:"source,omitempty"`
		Zone    string `msgpack:"zone,omitempty"`
		Begin   bool   `msgpack:"begin,omitempty"`
	}
	data, err := EncodeEvacuate("a", true, NewOrigin("order-1", "host-1", time.UnixMilli(1)))
	if err != nil {
		t.Fatal(err)
	}
	var got earlierRecord
	if err := msgpack.Unmarshal(data, &got); err != nil || got.Zone != "a" || !got.Begin {
		t.Errorf("an earlier release decodes %+v, %v", got, err)
	}
}

// TestSnapshotBetweenReleases guards against a snapshot that another release cannot
// read, and against orders that are taken for the last ones of their zones although
// a snapshot of an earlier release may hide later ones.
func TestSnapshotBetweenReleases(t *testing.T) {
	type earlierRecord struct {
		Version uint64   `msgpack:"version"`
		Source  []byte   `msgpack:"source"`
		Zones   []string `msgpack:"zones"`
	}
	earlier, err := msgpack.Marshal(earlierRecord{Version: 4, Source: []byte("four"), Zones: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	var state scheme.DesiredState
	b := New(func(_ ident.Revision, s scheme.DesiredState) { state = s })
	if err := b.Restore(20, earlier); err != nil {
		t.Fatal(err)
	}
	order, err := EncodeEvacuate("b", true, Origin{})
	if err != nil {
		t.Fatal(err)
	}
	b.Apply(21, order)
	later, err := b.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	var got earlierRecord
	if err := msgpack.Unmarshal(later, &got); err != nil || got.Version != 4 || len(got.Zones) != 2 {
		t.Errorf("an earlier release reads %+v, %v", got, err)
	}
	if err := New(func(_ ident.Revision, s scheme.DesiredState) { state = s }).Restore(30, later); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		zone ident.Zone
		want ident.Revision
	}{
		{"a", 20},
		{"b", 21},
		{"c", 20},
	}
	for _, c := range cases {
		if got := state.Orders().Last(c.zone); got != c.want {
			t.Errorf("last order for zone %s: %d, want %d", c.zone, got, c.want)
		}
	}
}
