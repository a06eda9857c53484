package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached a server and that it began to run.
type arrival struct {
	id   string
	from string
	at   time.Time
}

// server is a stand-in of one server process.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       time.Time
	record                     *record
	http                       *http.Server
	listener                   net.Listener

	mutex    sync.Mutex
	isLeft   bool
	leaving  bool
	cold     time.Time
	crashed  time.Time
	running  int
	waiting  chan struct{}
	queued   int
	arrivals []arrival
	// onRun is called for each run, with the mutex held, and reports whether the
	// server crashes.
	onRun func(now time.Time) bool
	// passedLeaving holds when each host first got an answer that says that the
	// server leaves.
	passedLeaving map[string]time.Time
}

const queuedPerSlot = 3

func startServer(r *record, id, service, zone, address string, slots int, work time.Duration) (*server, error) {
	s := &server{
		id: id, service: service, zone: zone, address: address, slots: slots, work: work, born: time.Now(), record: r,
		waiting: make(chan struct{}, slots), passedLeaving: map[string]time.Time{},
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", id, err)
	}
	s.listener = l
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	r.add("server %s of %s starts in %s at %s", id, service, zone, address)
	return s, nil
}

// end ends the process: all connections break.
func (s *server) end() {
	s.mutex.Lock()
	s.isLeft = true
	s.mutex.Unlock()
	_ = s.http.Close()
}

// listed returns the entry of the platform itself.
func (s *server) listed() entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	e := entry{
		"Id": s.id, "Backend": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots,
		"State": state, "ColdRemainingMs": 0, "born": s.born.UnixMilli(),
	}
	if !s.cold.IsZero() {
		e[coldUntil] = s.cold
	}
	return e
}

// leave begins the server's planned end.
func (s *server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

func (s *server) loadHeader(h http.Header) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running, s.queued, s.slots))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	h := w.Header()
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	s.mutex.Lock()
	leaving, cold := s.leaving, s.cold
	s.mutex.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		if wait := time.Until(cold); wait > 0 {
			h.Set("Cold-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
		}
		s.loadHeader(h)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.enter() {
		s.loadHeader(h)
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.record.add("request %s from %s is refused by %s", id, from, s.id)
		return
	}
	select {
	case s.waiting <- struct{}{}:
	case <-r.Context().Done():
		s.leaveQueue()
		return
	}
	defer func() { <-s.waiting }()
	s.run(w, r, id, from, now, len(body))
}

// enter counts a request as queued, unless the queue is full.
func (s *server) enter() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isLeft || s.queued >= s.slots*queuedPerSlot {
		return false
	}
	s.queued++
	return true
}

func (s *server) leaveQueue() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queued--
}

// run runs a request and answers it.
func (s *server) run(w http.ResponseWriter, r *http.Request, id, from string, arrived time.Time, bodyBytes int) {
	s.mutex.Lock()
	s.queued--
	if s.isLeft {
		s.mutex.Unlock()
		return
	}
	s.running++
	s.arrivals = append(s.arrivals, arrival{id: id, from: from, at: arrived})
	crashes := s.onRun != nil && s.onRun(arrived)
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.running--
		s.mutex.Unlock()
	}()
	s.record.addAt(arrived, "request %s from %s reaches %s, which runs it (%s %s, %d bytes)", id, from, s.id, r.Method, r.URL.Path, bodyBytes)
	if crashes {
		s.record.say("server %s crashes: more requests than it tolerates while it is cold", s.id)
		s.end()
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.record.add("run of %s at %s ends without an answer", id, s.id)
		return
	}
	h := w.Header()
	h.Set("Server-Stamp", "stamp."+s.id+"."+id)
	s.loadHeader(h)
	if h.Get("Server-Leaving") != "" {
		s.mutex.Lock()
		if _, ok := s.passedLeaving[from]; !ok {
			s.passedLeaving[from] = time.Now()
		}
		s.mutex.Unlock()
	}
	// An error means that the caller has left.
	_, _ = io.WriteString(w, "done "+id)
}
