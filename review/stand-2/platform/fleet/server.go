package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a run of a request at a server.
type Run struct {
	Request, Service string
	At, EndedAt      time.Time
	// Cut is set if the connection ended before the end of the run.
	Cut bool
}

// Runs holds the runs of all servers.
type Runs struct {
	mutex sync.Mutex
	list  map[string][]*Run
}

// NewRuns returns no runs.
func NewRuns() *Runs { return &Runs{list: map[string][]*Run{}} }

// Of returns the runs of a request.
func (r *Runs) Of(request string) []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []Run
	for _, run := range r.list[request] {
		list = append(list, *run)
	}
	return list
}

func (r *Runs) begin(request, service string) *Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run := &Run{Request: request, Service: service, At: time.Now()}
	r.list[request] = append(r.list[request], run)
	return run
}

func (r *Runs) end(run *Run, cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run.EndedAt, run.Cut = time.Now(), cut
}

// Server is a server of a service that behaves as the protocol says.
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	born                       int64
	work                       time.Duration
	running                    atomic.Int64
	runs                       *Runs
}

// StartServer starts a server on a loopback address. It works on each request for
// the given time.
func StartServer(f *Fleet, runs *Runs, id, service, zone string, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", f.NextIP()+":0")
	if err != nil {
		return nil, fmt.Errorf("start server %s: %w", id, err)
	}
	s := &Server{
		ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Slots: 4, work: work, runs: runs, born: time.Now().UnixMilli(),
	}
	server := &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.ID)
		return
	}
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	switch {
	case id == "":
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != s.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// The whole body is read before the run begins.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, int64(s.Slots)), max(running-int64(s.Slots), 0), s.Slots))
	run := s.runs.begin(id, s.Service)
	timer := time.NewTimer(s.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		s.runs.end(run, true)
		return
	}
	s.runs.end(run, false)
	h.Set("Server-Stamp", "stamp-"+s.ID+"-"+id)
	body := "answer of " + s.Service + " to " + id
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// StartPlatform starts the platform's list of servers and returns its address.
func StartPlatform(f *Fleet, servers func() []*Server) error {
	l, err := net.Listen("tcp", f.NextIP()+":0")
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	f.Platform = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		zones := map[string][]map[string]any{}
		for _, s := range servers() {
			if zone := r.URL.Query().Get("Zone"); zone != "" && zone != s.Zone {
				continue
			}
			zones[s.Zone] = append(zones[s.Zone], map[string]any{
				"Backend": s.Service, "Address": s.Address, "Version": "v1", "Slots": s.Slots, "State": "ready",
				"ColdRemainingMs": 0, "Id": s.ID, "born": s.born,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Instances": zones, "NextPageToken": nil})
	})
	go func() { _ = http.Serve(l, mux) }()
	return nil
}
