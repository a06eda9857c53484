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
	// HeaderCrash marks a request that crashes the target that runs it.
	HeaderCrash = "Stand-Crash"
	// QueryCrash is a query parameter with the same meaning as HeaderCrash.
	QueryCrash = "stand-crash"
	// QueryResponseBytes is a query parameter that sets the size of the
	// response.
	QueryResponseBytes = "answer-bytes"

	// maxResponseBytes bounds QueryResponseBytes.
	maxResponseBytes = 64 << 20
	headerTimeout    = 10 * time.Second
	// shedRetryAfterSeconds is the Retry-After of a shed request.
	shedRetryAfterSeconds = "1"
)

// ResponseRecord is the JSON response to an ordinary request.
type ResponseRecord struct {
	Target string `json:"target"`
	Run    int    `json:"run"`
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathHealth, t.serveHealth)
	mux.HandleFunc("GET "+target.PathLoad, t.serveLoad)
	mux.HandleFunc("GET "+pathDownloads+"{size}/{name}", t.serveDownload)
	mux.HandleFunc("/", t.serveRequest)
	return echoAttempt(mux)
}

// echoAttempt repeats the attempt ID of a request in every response.
func echoAttempt(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(target.HeaderAttempt); id != "" {
			w.Header().Set(target.HeaderAttempt, id)
		}
		next.ServeHTTP(w, r)
	})
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	if content, ok := t.reportsOrError(w, r); ok {
		writeJSON(w, target.HealthRecord{State: content.state})
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	if content, ok := t.reportsOrError(w, r); ok {
		writeJSON(w, content.load)
	}
}

// reportsOrError returns what to report. If the target is set to a report fault
// or to silence, or if the task has ended, it completes the request itself and
// returns false.
func (t *Target) reportsOrError(w http.ResponseWriter, r *http.Request) (reportContent, bool) {
	content, err := tasks.Ask(r.Context(), t.task, func(reply tasks.Reply[reportContent]) any { return reportsRequest{reply: reply} })
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return content, false
	case content.silent:
		<-r.Context().Done()
		return content, false
	case content.fault != 0:
		http.Error(w, "report fault", content.fault)
		return content, false
	}
	return content, true
}

// writeJSON responds with a record. Write errors are ignored, because they mean
// that the caller has disconnected.
func writeJSON(w http.ResponseWriter, record any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(record)
}

// serveRequest serves an ordinary request.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	t.runInSlot(w, r, func(a admission) {
		size, _ := strconv.ParseInt(r.URL.Query().Get(QueryResponseBytes), 10, 64)
		if size <= 0 {
			writeJSON(w, ResponseRecord{Target: string(t.settings.id), Run: a.number})
			return
		}
		size = min(size, maxResponseBytes)
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		_, _ = io.Copy(w, newContentReader("answer", size))
	})
}

// runInSlot runs the request in a slot for its service time and then calls
// respond.
func (t *Target) runInSlot(w http.ResponseWriter, r *http.Request, respond func(admission)) {
	if !t.addTo(&t.handlers) {
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
	a, err := t.acquireSlot(r, size)
	if err != nil {
		return
	}
	if !a.admitted {
		refuse(w, a.reason)
		return
	}
	if r.Header.Get(HeaderCrash) != "" || r.URL.Query().Has(QueryCrash) {
		t.crash(a.number, a.index)
		t.task.Tell(slotRelease{number: a.number, index: a.index, status: Crashed})
		return
	}
	t.completeRun(w, r, a, deadline, respond)
}

// deadlineOf returns the deadline in the header of the request, if it is valid.
func deadlineOf(r *http.Request) (time.Time, bool) {
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(target.HeaderDeadline))
	return deadline, err == nil
}

// refuse responds that the request did not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderOutcome, target.OutcomeNotRun)
	w.Header().Set(target.HeaderReason, reason)
	w.Header().Set("Retry-After", shedRetryAfterSeconds)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// acquireSlot waits until the request is admitted to a slot or shed.
func (t *Target) acquireSlot(r *http.Request, size int64) (admission, error) {
	m := slotRequest{run: newRun(r, size), handle: &requestHandle{}, decision: tasks.NewReply[admission]()}
	t.task.Tell(m)
	select {
	case a := <-m.decision.Values():
		return a, nil
	case <-t.task.Done():
		return admission{}, fmt.Errorf("stand-in stopped: %w", tasks.ErrStopped)
	case <-r.Context().Done():
		return admission{}, t.withdraw(r, m)
	}
}

// withdraw removes the request from the queue, or releases the slot to which it
// has been admitted meanwhile.
func (t *Target) withdraw(r *http.Request, m slotRequest) error {
	removed := tasks.NewReply[struct{}]()
	t.task.Tell(cancelSlotRequest{handle: m.handle, reply: removed})
	select {
	case <-removed.Values():
	case <-t.task.Done():
	}
	select {
	case a := <-m.decision.Values():
		if a.admitted {
			t.task.Tell(slotRelease{number: a.number, index: a.index, status: Cancelled})
		}
	default:
	}
	return fmt.Errorf("request cancelled in the queue: %w", r.Context().Err())
}

// completeRun waits until the service time or the deadline has passed or the
// caller has disconnected, whichever comes first, and responds accordingly.
func (t *Target) completeRun(w http.ResponseWriter, r *http.Request, a admission, deadline time.Time, respond func(admission)) {
	duration, status := a.serviceTime, Done
	if !deadline.IsZero() {
		if remaining := deadline.Sub(t.settings.clock.Now()); remaining < duration {
			duration, status = remaining, Expired
		}
	}
	if !clock.Sleep(r.Context(), t.settings.clock, duration) {
		status = Cancelled
	}
	defer func() { t.task.Tell(slotRelease{number: a.number, index: a.index, status: status}) }()
	switch status {
	case Done:
		respond(a)
	case Expired:
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
	}
}
