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

// PathLookup answers which entry hosts a caller should use.
const PathLookup = "/.rhubarbrack/lookup"

// DirectorySource gives the directory of entry hosts that belongs to the current
// view.
type DirectorySource interface {
	// Directory returns the directory.
	Directory() *locate.Directory
}

// LookupRecord is the JSON form of an answer to a look-up.
type LookupRecord struct {
	Hosts []LookupHost `json:"hosts"`
	TTL   float64      `json:"ttl-seconds"`
}

// LookupHost is one entry host of an answer. Weight 0 marks a fallback.
type LookupHost struct {
	Host    string  `json:"host"`
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// reasonBadClient means that the address in a look-up is malformed.
const reasonBadClient route.Reason = "client-invalid"

// lookup answers GET /.rhubarbrack/lookup?service=NAME&client=IP. Without a
// client, the address of the connection counts. An unknown service is
// refused, so that a misspelt name does not look like an outage.
func (h *Handler) lookup(w http.ResponseWriter, r *http.Request) {
	client, err := clientAddress(r)
	if err != nil {
		h.refuseLookup(w, reasonBadClient, http.StatusBadRequest)
		return
	}
	view, err := h.views.View(r.Context())
	if err != nil {
		h.refuseLookup(w, route.ReasonNoView, http.StatusServiceUnavailable)
		return
	}
	if name := r.URL.Query().Get("service"); name != "" && !knowsService(view.Config(), name) {
		h.refuseLookup(w, route.ReasonNoRoute, http.StatusNotFound)
		return
	}
	answer := h.directories.Directory().Lookup(client)
	out := LookupRecord{TTL: answer.TTL().Seconds(), Hosts: []LookupHost{}}
	for _, c := range answer.Hosts() {
		out.Hosts = append(out.Hosts, LookupHost{
			Host: string(c.Host().Name()), Address: c.Host().Address(), Weight: c.Weight(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+retryAfter(answer.TTL()))
	_ = json.NewEncoder(w).Encode(out)
}

func (h *Handler) refuseLookup(w http.ResponseWriter, reason route.Reason, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderReason, string(reason))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(RefusalRecord{Outcome: string(route.NotRun), Reason: string(reason)})
}

// knowsService accepts the name of a service or one of its host names.
func knowsService(config *state.Config, name string) bool {
	if _, ok := config.Service(ident.Service(name)); ok {
		return true
	}
	_, ok := config.ServiceByHost(name)
	return ok
}

// clientAddress returns the address in the query or that of the connection.
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
