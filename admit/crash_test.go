package admit

import (
	"testing"
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
)

// TestConfirmRequest guards against a refusal that leaves an attempt or a request
// in flight behind, and against a second target for a request that has crashed
// two.
func TestConfirmRequest(t *testing.T) {
	f := ident.Fingerprint{1}
	cases := []struct {
		name     string
		crashes  int
		reason   Reason
		attempts int
		retry    Reason
	}{
		{"none", 0, "", 1, ""},
		{"one", 1, "", 1, ""},
		{"two", 2, "", 1, NoAttempts},
		{"three", 3, Crashing, 0, NoAttempts},
	}
	for _, c := range cases {
		controller := newTestController(t, 60)
		var reports []guard.Report
		for i := range c.crashes {
			crash := guard.NewCrash(guard.NewProcess("x", int64(i)), start.Add(-time.Second))
			reports = append(reports, guard.NewReport(f, []guard.Crash{crash}, time.Time{}))
		}
		controller.MergeSuspects(start, reports)
		d := controller.ConfirmRequest(start, controller.Admit(start, request("/a/1", "free", 0)), f)
		reason, refused := d.Refused()
		if reason != c.reason || d.State().Attempts() != c.attempts {
			t.Errorf("%s: reason %q after %d attempts, want %q, %d", c.name, reason, d.State().Attempts(), c.reason, c.attempts)
		}
		if refused {
			if stats := controller.TargetStats(start); len(stats) != 0 || d.RetryAfter() <= 0 {
				t.Errorf("%s: %d targets with requests in flight, retry after %v", c.name, len(stats), d.RetryAfter())
			}
			continue
		}
		if reason, _ := controller.Retry(start, d.State()).Refused(); reason != c.retry {
			t.Errorf("%s: retry refused with %q, want %q", c.name, reason, c.retry)
		}
	}
}

// TestRecordLoss guards against a crash that is counted although the process goes
// on, or that is counted for a request that was answered elsewhere meanwhile.
func TestRecordLoss(t *testing.T) {
	f := ident.Fingerprint{1}
	cases := []struct {
		name     string
		hasEnded bool
		answered bool
		want     int
	}{
		{"ended", true, false, 1},
		{"goes on", false, false, 0},
		{"answered elsewhere before the check", true, true, 0},
	}
	for _, c := range cases {
		controller := newTestController(t, 60)
		choice := controller.Admit(start, request("/a/1", "free", 0)).Choice()
		check, due := controller.RecordLoss(start, choice, f)
		if !due || check.Target().ID() != choice.Target().ID() || len(check.References()) == 0 {
			t.Fatalf("%s: check %+v, due %v", c.name, check, due)
		}
		if c.answered {
			controller.RecordResponse(start.Add(time.Millisecond), f)
		}
		got := controller.RecordCheck(start.Add(time.Second), check.Target(), c.hasEnded)
		if len(got) != c.want || len(controller.Suspected()) != c.want {
			t.Errorf("%s: %d requests suspected, %d in all, want %d", c.name, len(got), len(controller.Suspected()), c.want)
		}
	}
}
