package guard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// crashOf returns the crash of a process, after a number of seconds.
func crashOf(target string, seconds int) Crash {
	return NewCrash(NewProcess(ident.Target(target), 1), start.Add(time.Duration(seconds)*time.Second))
}

// TestSuspects guards against a request that goes on crashing targets, and
// against refusals of requests that do not crash any.
func TestSuspects(t *testing.T) {
	three := func(s *Suspects) {
		for i, name := range []string{"a", "b", "c"} {
			s.RecordCrash(start, fa, crashOf(name, i))
		}
	}
	cases := []struct {
		name  string
		run   func(s *Suspects)
		after time.Duration
		want  Verdict
	}{
		{"unknown", func(*Suspects) {}, 0, Unrestricted},
		{"one crash", func(s *Suspects) { s.RecordCrash(start, fa, crashOf("a", 0)) }, time.Second, Unrestricted},
		{"two crashes", func(s *Suspects) {
			s.RecordCrash(start, fa, crashOf("a", 0))
			s.RecordCrash(start, fa, crashOf("b", 0))
		}, time.Second, SingleAttempt},
		{"three crashes", three, 3 * time.Second, Refused},
		{"three copies at one process", func(s *Suspects) {
			for i := range 3 {
				s.RecordCrash(start, fa, crashOf("a", i))
			}
		}, 3 * time.Second, Unrestricted},
		{"three processes of one target", func(s *Suspects) {
			for i := range 3 {
				s.RecordCrash(start, fa, NewCrash(NewProcess("a", int64(i)), start))
			}
		}, time.Second, Refused},
		{"a response after the second crash", func(s *Suspects) {
			s.RecordCrash(start, fa, crashOf("a", 0))
			s.RecordCrash(start, fa, crashOf("b", 1))
			s.RecordResponse(start.Add(2*time.Second), fa)
			s.RecordCrash(start, fa, crashOf("c", 3))
		}, 4 * time.Second, Unrestricted},
		{"a response that is older than the crashes", func(s *Suspects) {
			three(s)
			s.Merge(start, []Report{NewReport(fa, nil, start.Add(-time.Second))})
		}, 3 * time.Second, Refused},
		{"crashes of another request", func(s *Suspects) {
			for i, name := range []string{"a", "b", "c"} {
				s.RecordCrash(start, fb, crashOf(name, i))
			}
		}, 3 * time.Second, Unrestricted},
		{"the refusal ends with one attempt", three, minRefusalTime + 2*time.Second, SingleAttempt},
		{"a fourth crash doubles it", func(s *Suspects) {
			three(s)
			s.RecordCrash(start, fa, crashOf("d", 700))
		}, 700*time.Second + minRefusalTime + time.Minute, Refused},
		{"forgotten", three, convictionTime + 3*time.Second, Unrestricted},
	}
	for _, c := range cases {
		s := NewSuspects()
		c.run(s)
		if got, _ := s.Verdict(start.Add(c.after), fa); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// TestSuspectsOfSeveralHosts guards against crashes that nobody counts because
// each host sees only some of them, and against sums that depend on the order or
// the number of reports.
func TestSuspectsOfSeveralHosts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		const hosts = 5
		var all [hosts]*Suspects
		for i := range all {
			all[i] = NewSuspects()
		}
		crashes := random.IntN(6)
		for i := range crashes {
			all[random.IntN(hosts)].RecordCrash(start, fa, crashOf(fmt.Sprint(i), i))
		}
		cleared := random.IntN(2) == 0
		if cleared {
			all[random.IntN(hosts)].Merge(start, []Report{NewReport(fa, nil, start.Add(time.Minute))})
		}
		now := start.Add(time.Minute)
		for range 3 * hosts * hosts {
			from, to := all[random.IntN(hosts)], all[random.IntN(hosts)]
			to.Merge(now, from.Reports(time.Time{}))
		}
		for range 2 {
			for _, from := range all {
				for _, to := range all {
					to.Merge(now, from.Reports(time.Time{}))
				}
			}
		}
		want := Unrestricted
		switch {
		case cleared || crashes < singleAttemptCrashes:
		case crashes < refusalCrashes:
			want = SingleAttempt
		default:
			want = Refused
		}
		for i, s := range all {
			if got, _ := s.Verdict(now, fa); got != want || s.Tag() != all[0].Tag() {
				t.Fatalf("round %d, host %d: verdict %d, want %d; tags %x, %x", round, i, got, want, s.Tag(), all[0].Tag())
			}
		}
	}
}

// TestSuspectsBound guards against a set that grows without bound, and against
// losing those requests that have crashed the most.
func TestSuspectsBound(t *testing.T) {
	s := NewSuspects()
	for i, name := range []string{"a", "b", "c"} {
		s.RecordCrash(start, fa, crashOf(name, i))
	}
	for i := range 4 * maxSuspects {
		s.RecordCrash(start.Add(time.Duration(i)*time.Millisecond), ident.Fingerprint{9, byte(i), byte(i >> 8)}, crashOf("t", 3))
	}
	if got := len(s.Reports(time.Time{})); got != maxSuspects {
		t.Errorf("%d fingerprints, want %d", got, maxSuspects)
	}
	if got, _ := s.Verdict(start.Add(4*time.Second), fa); got != Refused {
		t.Errorf("verdict %d, want %d", got, Refused)
	}
}

// TestLosses guards against counting a broken connection as a crash, and against
// several checks of one process.
func TestLosses(t *testing.T) {
	p, other := NewProcess("a", 1), NewProcess("a", 2)
	cases := []struct {
		name      string
		before    func(l *Losses)
		want      LossState
		hasEnded  bool
		confirmed int
	}{
		{"first loss", func(*Losses) {}, CheckDue, true, 1},
		{"still running", func(*Losses) {}, CheckDue, false, 0},
		{"check under way", func(l *Losses) { l.Record(start, fb, p) }, CheckPending, true, 2},
		{"another process of the target", func(l *Losses) { l.Record(start, fb, other) }, CheckDue, true, 1},
		{"responded meanwhile", func(l *Losses) { l.Record(start, fb, p); l.Forget(fb) }, CheckPending, true, 1},
		{"known to have ended", func(l *Losses) { l.Record(start, fb, p); l.Checked(start, p, true) }, ProcessEnded, false, 0},
		{"ended long ago", func(l *Losses) { l.Record(start, fb, p); l.Checked(start.Add(-endedTime), p, true) }, CheckDue, true, 1},
	}
	for _, c := range cases {
		l := NewLosses()
		c.before(l)
		if got := l.Record(start, fa, p); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
		if got := l.Checked(start, p, c.hasEnded); len(got) != c.confirmed {
			t.Errorf("%s: %d losses confirmed, want %d", c.name, len(got), c.confirmed)
		}
	}
}
