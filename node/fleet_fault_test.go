package node

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/mesh"
)

// TestFaultPause guards against a control host with a broken disk that is
// started again and again without a pause.
func TestFaultPause(t *testing.T) {
	file := filepath.Join(t.TempDir(), "data")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	k := clock.NewManual(time.Unix(1_000_000, 0))
	f := NewHostConfig("c", "z", map[ident.Zone]ident.Region{"z": "r"}, "127.0.0.1", 0, nil, k, slog.New(slog.DiscardHandler)).
		WithData(file, true)
	ended := make(chan error, 1)
	go func() {
		ended <- RunFleetControl(context.Background(), f, nil, func(*mesh.Control) []Endpoint { return nil })
	}()
	for k.Timers() == 0 {
		select {
		case err := <-ended:
			t.Fatalf("ended without a pause: %v", err)
		default:
			runtime.Gosched()
		}
	}
	k.Advance(faultPause)
	if err := <-ended; err == nil {
		t.Error("no error although the data directory is a file")
	}
}
