package lines

import (
	"context"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/clock"
)

// stalled is a writer that blocks until it is released.
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

// TestLoggingNeverBlocks guards against requests that block on the log output,
// and against dropped lines that are not counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	c := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	ctx, cancel := context.WithCancel(context.Background())
	const budget = 2 * maxQueuedLines
	s := Start(ctx, out, budget, c)
	log := slog.New(s.Handler(slog.LevelInfo))
	// The first line may already be with the writer; the queue holds the next.
	const written = 3 * maxQueuedLines
	for i := range written {
		log.Info("line", "number", i)
	}
	dropped := s.Dropped()
	if dropped < written-maxQueuedLines-1 {
		t.Errorf("%d lines dropped, want %d or more", dropped, written-maxQueuedLines-1)
	}
	close(out.release)
	cancel()
	<-s.Done()
	if got := int64(strings.Count(out.String(), `"msg":"line"`)); got+dropped != written {
		t.Errorf("%d lines written and %d dropped of %d", got, dropped, written)
	}
	if !strings.Contains(out.String(), "lines left out") {
		t.Error("no line reports the number of dropped lines")
	}
}

// TestBudget guards against ordinary lines that displace warnings, and against
// exceeding the budget of lines per second.
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
	}{{"answer", 2 * (5 + reservedLines)}, {"failure", 6}, {"detail", 0}} {
		if got := strings.Count(out.String(), `"msg":"`+k.line+`"`); got != k.want {
			t.Errorf("%d lines %q, want %d", got, k.line, k.want)
		}
	}
}

// TestRareLines guards against a rare line, such as that of a configuration in
// force, that is dropped because a frequent one has used up the budget.
func TestRareLines(t *testing.T) {
	c := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	out := &stalled{release: make(chan struct{})}
	close(out.release)
	ctx, cancel := context.WithCancel(context.Background())
	s := Start(ctx, out, 5, c)
	log := slog.New(s.Handler(slog.LevelInfo))
	for range 100 {
		log.Info("answer")
	}
	log.Info("rare")
	cancel()
	<-s.Done()
	if !strings.Contains(out.String(), `"msg":"rare"`) {
		t.Error("the rare line was dropped")
	}
}

// TestDroppedLinesUnderLoad guards against dropped lines that are not reported as
// long as lines keep coming.
func TestDroppedLinesUnderLoad(t *testing.T) {
	c := clock.NewManual(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	out := &stalled{release: make(chan struct{})}
	close(out.release)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := Start(ctx, out, 1, c)
	log := slog.New(s.Handler(slog.LevelInfo))
	// The output runs in a goroutine of its own.
	for range 1_000_000 {
		if strings.Contains(out.String(), "lines left out") {
			return
		}
		for range 20 {
			log.Info("line")
		}
		c.Advance(reportInterval / 2)
		runtime.Gosched()
	}
	t.Error("dropped lines were not reported")
}
