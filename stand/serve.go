package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/target"
	"rhubarbrack/tasks"
)

const (
	// HeaderCrash marks a request that ends the target that runs it.
	HeaderCrash = "Stand-Crash"
	// QueryCrash is a query parameter with the same meaning as HeaderCrash.
	QueryCrash = "stand-crash"
	// QueryResponseBytes is a query parameter that sets the size of the answer.
	QueryResponseBytes = "answer-bytes"

	// maxAnswerBytes bounds QueryAnswerBytes.
	maxAnswerBytes = 64 << 20
	headerTimeout  = 10 * time.Second
	// shedRetrySeconds is the Retry-After of a shed request.
	shedRetrySeconds = "1"
)

// ResponseRecord is the JSON answer to an ordinary request.
type ResponseRecord struct {
	Target string `json:"target"`
	Run    int    `json:"run"`
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathHealth, t.health)
	mux.HandleFunc("GET "+target.PathLoad, t.load)
	mux.HandleFunc("GET "+pathFiles+"{size}/{name}", t.download)
	mux.HandleFunc("/", t.work)
	return mux
}

func (t *Target) health(w http.ResponseWriter, r *http.Request) {
	if p, ok := t.reports(w, r); ok {
		writeJSON(w, target.HealthRecord{State: p.state})
	}
}

func (t *Target) load(w http.ResponseWriter, r *http.Request) {
	if p, ok := t.reports(w, r); ok {
		writeJSON(w, p.load)
	}
}

// reports returns what to report. When reports are faulty, it answers itself.
func (t *Target) reports(w http.ResponseWriter, r *http.Request) (reports, bool) {
	p, err := tasks.Ask(r.Context(), t.desk, func(reply tasks.Reply[reports]) any { return askReports{reply: reply} })
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return p, false
	case p.silent:
		<-r.Context().Done()
		return p, false
	case p.fault != 0:
		http.Error(w, "report fault", p.fault)
		return p, false
	}
	return p, true
}

// writeJSON answers with a record. A caller that has gone needs no answer.
func writeJSON(w http.ResponseWriter, record any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(record)
}

// work answers an ordinary request.
func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	t.occupy(w, r, func(a admission) {
		size, _ := strconv.ParseInt(r.URL.Query().Get(QueryResponseBytes), 10, 64)
		if size <= 0 {
			writeJSON(w, ResponseRecord{Target: string(t.settings.id), Run: a.number})
			return
		}
		size = min(size, maxAnswerBytes)
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		_, _ = io.Copy(w, newContent("answer", size))
	})
}

// occupy runs the request in a slot for its service time and then answers.
func (t *Target) occupy(w http.ResponseWriter, r *http.Request, answer func(admission)) {
	if !t.enter(&t.handlers) {
		return
	}
	defer t.handlers.Done()
	size, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	deadline, ok := deadlineOf(r)
	if ok && !deadline.After(t.settings.clock.Now()) {
		refuse(w, "deadline")
		return
	}
	a, err := t.admit(r, size)
	if err != nil {
		return
	}
	if !a.admitted {
		refuse(w, a.reason)
		return
	}
	if r.Header.Get(HeaderCrash) != "" || r.URL.Query().Has(QueryCrash) {
		t.crash(a.number, a.index)
		t.desk.Tell(leave{number: a.number, index: a.index, end: Crashed})
		return
	}
	t.finish(w, r, a, deadline, answer)
}

// deadlineOf returns the deadline that the request states.
func deadlineOf(r *http.Request) (time.Time, bool) {
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(target.HeaderDeadline))
	return deadline, err == nil
}

// refuse answers that nothing ran.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderOutcome, target.OutcomeNotRun)
	w.Header().Set(target.HeaderReason, reason)
	w.Header().Set("Retry-After", shedRetrySeconds)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// admit waits for a slot or a refusal.
func (t *Target) admit(r *http.Request, size int64) (admission, error) {
	m := arrive{run: newRun(r, size), ticket: &ticket{}, settled: tasks.NewReply[admission]()}
	t.desk.Tell(m)
	select {
	case a := <-m.settled.Values():
		return a, nil
	case <-t.desk.Done():
		return admission{}, fmt.Errorf("stand-in ended: %w", tasks.ErrStopped)
	case <-r.Context().Done():
		return admission{}, t.giveUp(r, m)
	}
}

// giveUp leaves the queue, or the slot that was granted meanwhile.
func (t *Target) giveUp(r *http.Request, m arrive) error {
	gone := tasks.NewReply[struct{}]()
	t.desk.Tell(giveUp{ticket: m.ticket, reply: gone})
	select {
	case <-gone.Values():
	case <-t.desk.Done():
	}
	select {
	case a := <-m.settled.Values():
		if a.admitted {
			t.desk.Tell(leave{number: a.number, index: a.index, end: Cancelled})
		}
	default:
	}
	return fmt.Errorf("request ended in the queue: %w", r.Context().Err())
}

// finish waits for the service time, the deadline or the end of the caller,
// whichever comes first.
func (t *Target) finish(w http.ResponseWriter, r *http.Request, a admission, deadline time.Time, answer func(admission)) {
	duration, end := a.serviceTime, Done
	if !deadline.IsZero() {
		if left := deadline.Sub(t.settings.clock.Now()); left < duration {
			duration, end = left, Expired
		}
	}
	if !clock.Sleep(r.Context(), t.settings.clock, duration) {
		end = Cancelled
	}
	defer func() { t.desk.Tell(leave{number: a.number, index: a.index, end: end}) }()
	switch end {
	case Done:
		answer(a)
	case Expired:
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
	}
}
