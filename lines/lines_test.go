package lines

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/clock"
)

// stalled is an output whose reader does not read until it is released.
type stalled struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(p)
}

func (s *stalled) String() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.String()
}

// TestNeverBlocks guards against requests that wait for the reader of the
// log, and against lines that are left out without a count.
func TestNeverBlocks(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	c := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	ctx, cancel := context.WithCancel(context.Background())
	const budget = 2 * queueLines
	s := Start(ctx, out, budget, c)
	log := slog.New(s.Handler(slog.LevelInfo))
	// The first line may be taken by the writer, and the queue holds the next.
	const written = 3 * queueLines
	for i := range written {
		log.Info("line", "number", i)
	}
	left := s.Dropped()
	if left < written-queueLines-1 {
		t.Errorf("%d lines left out, want %d or more", left, written-queueLines-1)
	}
	close(out.release)
	cancel()
	<-s.Done()
	if got := int64(strings.Count(out.String(), `"msg":"line"`)); got+left != written {
		t.Errorf("%d lines written and %d left out of %d", got, left, written)
	}
	if !strings.Contains(out.String(), "lines left out") {
		t.Error("no line tells how many were left out")
	}
}

// TestBudget guards against answers that displace failures, and against more
// lines a second than the budget.
func TestBudget(t *testing.T) {
	c := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	out := &stalled{release: make(chan struct{})}
	close(out.release)
	ctx, cancel := context.WithCancel(context.Background())
	s := Start(ctx, out, 5, c)
	log := slog.New(s.Handler(slog.LevelInfo)).With("host", "h").WithGroup("g")
	for range 2 {
		for range 20 {
			log.Info("answer")
			log.Debug("detail")
		}
		for range 3 {
			log.Warn("failure")
		}
		c.Advance(time.Second)
	}
	cancel()
	<-s.Done()
	for _, k := range []struct {
		line string
		want int
	}{{"answer", 10}, {"failure", 6}, {"detail", 0}} {
		if got := strings.Count(out.String(), `"msg":"`+k.line+`"`); got != k.want {
			t.Errorf("%d lines %q, want %d", got, k.line, k.want)
		}
	}
}
