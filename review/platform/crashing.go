package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashControls, crashEntries and crashServers are the sizes of the fleet.
	crashControls = 3
	crashEntries  = 3
	crashServers  = 18
	// poisonPause is the time between two attempts of the client whose request
	// crashes servers, and poisonTime for how long it tries.
	poisonPause = 1500 * time.Millisecond
	poisonTime  = 30 * time.Second
	// maxLateRetries is the bound of the rule.
	maxLateRetries = 3
)

// crashingRequest sends a request that crashes each server that begins to run it,
// again and again, beside ordinary requests.
func crashingRequest(f *fleet, isTroubled bool) (bool, error) {
	pool, err := startServers(f, crashServers, isTroubled)
	if err != nil {
		return false, err
	}
	for range crashControls {
		f.addControl()
	}
	for range crashEntries {
		f.addEntry()
	}
	for i, p := range append(append([]*process(nil), f.controls...), f.entries...) {
		if err := f.start(p, i, true); err != nil {
			return false, err
		}
	}
	if !f.put(1, 15*time.Second) || !f.awaitReady(15*time.Second) {
		return false, fmt.Errorf("the system does not become ready")
	}
	time.Sleep(contactTime)

	stop := make(chan struct{})
	var served, failed atomic.Int64
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() { f.sendOrdinary(i, stop, &served, &failed) })
	}
	sentAt := map[string]time.Time{}
	for n, end := 1, time.Now().Add(poisonTime); time.Now().Before(end); n++ {
		id := fmt.Sprintf("crash%011d", n)
		sentAt[id] = time.Now()
		entry := f.entries[n%len(f.entries)]
		status, _ := f.request(entry, id, "/timetable"+crashMark+"x")
		f.note("client sent %s to %s: %d", id, entry.name, status)
		time.Sleep(time.Until(sentAt[id].Add(poisonPause)))
	}
	close(stop)
	clients.Wait()
	f.note("ordinary requests: %d served, %d not", served.Load(), failed.Load())
	if served.Load() < 100 {
		return false, fmt.Errorf("only %d ordinary requests were served", served.Load())
	}
	return pool.judge(sentAt, isTroubled)
}

// judge applies the rule: at most maxLateRetries retries, sent later than
// contactTime after the third crash, may reach a server.
func (p *servers) judge(sentAt map[string]time.Time, isTroubled bool) (bool, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !isTroubled {
		p.fleet.note("no server crashed; %d arrivals", len(p.poisoned))
		return len(p.crashes) == 0, nil
	}
	if len(p.crashes) < 3 {
		p.fleet.note("%d crashes: the rule held", len(p.crashes))
		return true, nil
	}
	late := map[string]bool{}
	limit := p.crashes[2].at.Add(contactTime)
	for _, a := range p.poisoned {
		if sentAt[a.request].After(limit) && a.at.After(limit) {
			late[a.request] = true
		}
	}
	p.fleet.note("%d servers were crashed, %d ordinary requests ended with them", len(p.crashes), p.lost)
	p.fleet.note("%d retries reached servers later than %s after the third crash; %d are allowed",
		len(late), contactTime, maxLateRetries)
	return len(late) <= maxLateRetries, nil
}

// request sends a request to an entry host and returns the status, or 0 if there
// is no complete answer.
func (f *fleet) request(entry *process, id, path string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", entry.ip, frontPort, path), nil)
	if err != nil {
		return 0, ""
	}
	r.Host = "bells.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "1200")
	r.Header.Set("Credential", "key-1")
	response, err := f.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// sendOrdinary sends ordinary requests until stop is closed.
func (f *fleet) sendOrdinary(client int, stop <-chan struct{}, served, failed *atomic.Int64) {
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("c%d%014d", client, n)
		status, body := f.request(f.entries[(client+n)%len(f.entries)], id, fmt.Sprintf("/timetable/%d", n%40))
		if status == http.StatusOK && body == fmt.Sprintf("timetable for %s\n", id) {
			served.Add(1)
		} else {
			failed.Add(1)
			f.note("client sent %s: %d", id, status)
		}
	}
}
