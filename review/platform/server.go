package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// serverSlots is how many requests a server runs at once.
	serverSlots = 4
	// workTime is how long a server works on a request.
	workTime = 20 * time.Millisecond
	// downTime is how long a server is down after a crash.
	downTime = 3 * time.Second
	// coldTime is how long a server is cold after it started during traffic.
	coldTime = 3 * time.Second
	// listLag is how old the platform's list is.
	listLag = 800 * time.Millisecond
)

// server is a stand-in of one server of a service. A request whose path has the
// crash mark ends each process that begins to run it, if crashes are on.
type server struct {
	fleet   *fleet
	pool    *servers
	number  int
	ip      string
	slots   chan struct{}
	mutex   sync.Mutex
	id      string
	born    time.Time
	isFirst bool
	http    *http.Server
}

// crashMark is the part of the path of the request that crashes servers.
const crashMark = "/poison/"

// crash is a process that a request has ended.
type crash struct {
	at      time.Time
	request string
}

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	request string
}

// servers are all stand-ins of servers, and the platform's list of them.
type servers struct {
	fleet   *fleet
	crashOn bool
	list    []*server
	mutex   sync.Mutex
	history []listState
	crashes []crash
	// poisoned holds the arrivals of the request that crashes servers.
	poisoned []arrival
	lost     int
}

// listState is the list as of a time.
type listState struct {
	at      time.Time
	entries map[string][]map[string]any
}

func startServers(f *fleet, count int, crashOn bool) (*servers, error) {
	pool := &servers{fleet: f, crashOn: crashOn}
	for i := range count {
		s := &server{
			fleet: f, pool: pool, number: i, ip: fmt.Sprintf("%s.%d", f.prefix, 100+i), slots: make(chan struct{}, serverSlots), isFirst: true,
		}
		pool.list = append(pool.list, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.200:%d", f.prefix, listPort))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(pool.serveList)) }()
	go func() {
		for {
			pool.remember()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return pool, nil
}

// remember keeps the list as it is now.
func (p *servers) remember() {
	state := listState{at: time.Now(), entries: map[string][]map[string]any{}}
	for _, s := range p.list {
		zone := zones[s.number%len(zones)].zone
		state.entries[zone] = append(state.entries[zone], s.entry())
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.history = append(p.history, state)
	for len(p.history) > 1 && time.Since(p.history[1].at) > listLag {
		p.history = p.history[1:]
	}
}

// serveList answers a read of the list with what it was listLag ago.
func (p *servers) serveList(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	entries := map[string][]map[string]any{}
	if len(p.history) > 0 {
		entries = p.history[0].entries
	}
	p.mutex.Unlock()
	if zone := r.URL.Query().Get("Zone"); zone != "" {
		entries = map[string][]map[string]any{zone: entries[zone]}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": entries, "NextPageToken": nil})
}

// entry returns the server's entry of the list.
func (s *server) entry() map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return map[string]any{
		"Id": s.id, "Backend": "timetable", "Address": s.address(), "Version": "v1", "Slots": serverSlots, "State": "ready",
		"ColdRemainingMs": s.coldFor().Milliseconds(), "born": s.born.UnixMilli(),
	}
}

func (s *server) address() string { return fmt.Sprintf("%s:%d", s.ip, serverPort) }

// coldFor returns how long the server stays cold. It is called with mutex held.
func (s *server) coldFor() time.Duration {
	if s.isFirst {
		return 0
	}
	return max(0, coldTime-time.Since(s.born))
}

// start starts a new process of the server at its address.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address())
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.born = time.Now()
	s.id = fmt.Sprintf("i-%02d-%d", s.number, s.born.UnixNano()%1e9)
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	h := s.http
	s.mutex.Unlock()
	go func() { _ = h.Serve(l) }()
	return nil
}

// crash ends the process with all of its connections, and starts another one
// later.
func (s *server) crash(request string) {
	s.mutex.Lock()
	h := s.http
	s.http = nil
	s.mutex.Unlock()
	if h == nil {
		return
	}
	s.pool.mutex.Lock()
	s.pool.crashes = append(s.pool.crashes, crash{at: time.Now(), request: request})
	n := len(s.pool.crashes)
	s.pool.mutex.Unlock()
	s.fleet.note("server %d: crashes on request %s (crash %d)", s.number, request, n)
	_ = h.Close()
	time.AfterFunc(downTime, func() {
		s.isFirst = false
		if err := s.start(); err != nil {
			s.fleet.note("server %d: does not start again: %v", s.number, err)
			return
		}
		s.fleet.note("server %d: is back", s.number)
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	id, cold, isUp := s.id, s.coldFor(), s.http != nil
	s.mutex.Unlock()
	if !isUp {
		panic(http.ErrAbortHandler)
	}
	request := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", request)
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", id)
		if cold > 0 {
			h.Set("Cold-Ms", fmt.Sprint(cold.Milliseconds()))
		}
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	isPoison := strings.Contains(r.URL.Path, crashMark)
	if isPoison {
		s.pool.mutex.Lock()
		s.pool.poisoned = append(s.pool.poisoned, arrival{at: time.Now(), request: request})
		s.pool.mutex.Unlock()
	}
	select {
	case s.slots <- struct{}{}:
	default:
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	if isPoison {
		s.fleet.note("server %d: runs request %s of %s", s.number, request, r.RemoteAddr)
		if s.pool.crashOn {
			s.crash(request)
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(workTime)
	s.mutex.Lock()
	isUp = s.id == id && s.http != nil
	s.mutex.Unlock()
	if !isUp {
		s.pool.mutex.Lock()
		s.pool.lost++
		s.pool.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	h.Set("Server-Stamp", "s."+request)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), serverSlots))
	_, _ = fmt.Fprintf(w, "timetable for %s\n", request)
}
