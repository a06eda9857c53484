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

// TestFaultPause guards against a control host with a faulty disk that is
// restarted repeatedly without a pause. A data directory that is a file is the
// fault.
func TestFaultPause(t *testing.T) {
	file := filepath.Join(t.TempDir(), "data")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	clk := clock.NewManual(time.Unix(1_000_000, 0))
	config := NewHostConfig("c", "z", map[ident.Zone]ident.Region{"z": "r"}, "127.0.0.1", 0, nil, clk, slog.New(slog.DiscardHandler)).
		WithData(file, true)
	ended := make(chan error, 1)
	go func() {
		ended <- RunFleetControl(context.Background(), config, nil, func(*mesh.Control) []Endpoint { return nil })
	}()
	for clk.Timers() == 0 {
		select {
		case err := <-ended:
			t.Fatalf("returned without a pause: %v", err)
		default:
			runtime.Gosched()
		}
	}
	clk.Advance(faultPause)
	if err := <-ended; err == nil {
		t.Error("RunFleetControl returned no error for a data directory that is a file")
	}
}
