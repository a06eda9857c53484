package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"rhubarbrack/ident"
	"rhubarbrack/locate"
	"rhubarbrack/route"
	"rhubarbrack/state"
)

// PathLookup is the path that returns the entry hosts that a caller should
// use.
const PathLookup = "/.rhubarbrack/lookup"

// DirectorySource provides the directory of entry hosts for the current view.
type DirectorySource interface {
	// Directory returns the current directory.
	Directory() *locate.Directory
}

// LookupRecord is the JSON form of a response to a lookup.
type LookupRecord struct {
	Hosts []LookupHost `json:"hosts"`
	TTL   float64      `json:"ttl-seconds"`
}

// LookupHost is one entry host of a response. Weight 0 marks a fallback.
type LookupHost struct {
	Host    string  `json:"host"`
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// reasonInvalidClient means that the client address of a lookup is malformed.
const reasonInvalidClient route.Reason = "client-invalid"

// lookup serves GET /.rhubarbrack/lookup?service=NAME&client=IP. The default
// client is the address of the connection. An unknown service is refused, so
// that a misspelt name does not look like an outage.
func (h *Handler) lookup(w http.ResponseWriter, r *http.Request) {
	client, err := clientAddress(r)
	if err != nil {
		h.refuseLookup(w, reasonInvalidClient, http.StatusBadRequest)
		return
	}
	view, err := h.views.View(r.Context())
	if err != nil {
		h.refuseLookup(w, route.ReasonNoView, http.StatusServiceUnavailable)
		return
	}
	if name := r.URL.Query().Get("service"); name != "" && !hasService(view.Config(), name) {
		h.refuseLookup(w, route.ReasonNoRoute, http.StatusNotFound)
		return
	}
	result := h.directories.Directory().Lookup(client)
	out := LookupRecord{TTL: result.TTL().Seconds(), Hosts: []LookupHost{}}
	for _, c := range result.Hosts() {
		out.Hosts = append(out.Hosts, LookupHost{
			Host: string(c.Host().Name()), Address: c.Host().Address(), Weight: c.Weight(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+formatSeconds(result.TTL()))
	_ = json.NewEncoder(w).Encode(out)
}

func (h *Handler) refuseLookup(w http.ResponseWriter, reason route.Reason, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderReason, string(reason))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(RefusalRecord{Outcome: string(route.NotRun), Reason: string(reason)})
}

// hasService reports whether name is the name of a service or one of its host
// names.
func hasService(config *state.Config, name string) bool {
	if _, ok := config.Service(ident.Service(name)); ok {
		return true
	}
	_, ok := config.ServiceByHost(name)
	return ok
}

// clientAddress returns the address in the query or, without one, the remote
// address of the connection.
func clientAddress(r *http.Request) (netip.Addr, error) {
	if text := r.URL.Query().Get("client"); text != "" {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Addr{}, fmt.Errorf("client address: %w", err)
		}
		return address, nil
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("address of connection: %w", err)
	}
	return remote.Addr(), nil
}
