package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an entry of the platform's list, as it is sent.
type entry map[string]any

// platform is a stand-in of the platform's list of servers. Changes appear in it
// after the lag.
type platform struct {
	record *record
	server *http.Server

	mutex    sync.Mutex
	versions []listVersion
	reads    int
}

// listVersion is the list from a time on, by zone.
type listVersion struct {
	at    time.Time
	zones map[string][]entry
}

const pageEntries = 50

func startPlatform(address string, r *record) (*platform, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p := &platform{record: r}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serve)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// set replaces the list. It is visible after the lag.
func (p *platform) set(zones map[string][]entry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.versions = append(p.versions, listVersion{at: time.Now().Add(listLag), zones: zones})
}

// visible returns the list that is visible now.
func (p *platform) visible(now time.Time) map[string][]entry {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	var zones map[string][]entry
	for _, v := range p.versions {
		if !v.at.After(now) {
			zones = v.zones
		}
	}
	return zones
}

// serve answers a read of the list, page by page.
func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	page, _ := strconv.Atoi(r.URL.Query().Get("PageToken"))
	wanted := r.URL.Query().Get("Zone")
	out := map[string][]entry{}
	i := 0
	more := false
	list := p.visible(now)
	for _, z := range zones {
		if wanted != "" && z.zone != wanted {
			continue
		}
		for _, e := range list[z.zone] {
			switch {
			case i < page:
			case i < page+pageEntries:
				out[z.zone] = append(out[z.zone], e.at(now))
			default:
				more = true
			}
			i++
		}
	}
	var token any
	if more {
		token = strconv.Itoa(page + pageEntries)
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": out, "NextPageToken": token})
}

// coldUntil is a key of entries that is not sent: until when the server is cold.
const coldUntil = "-cold-until"

// at returns the entry as it is sent at a time.
func (e entry) at(now time.Time) entry {
	until, ok := e[coldUntil].(time.Time)
	if !ok {
		return e
	}
	sent := entry{}
	for k, v := range e {
		if k != coldUntil {
			sent[k] = v
		}
	}
	sent["ColdRemainingMs"] = max(0, until.Sub(now).Milliseconds())
	return sent
}

func (p *platform) stop() { _ = p.server.Close() }
