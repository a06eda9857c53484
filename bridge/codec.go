package bridge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/relay"
	"rhubarbrack/scheme"
)

// Names of headers between entry hosts.
const (
	headerTerms   = "Rhubarbrack-Terms"
	headerRefusal = "Rhubarbrack-Refusal"
	headerTarget  = "Rhubarbrack-Target"
)

// termsRecord is the JSON form of admit.Terms.
type termsRecord struct {
	Route              string   `json:"route"`
	Kind               uint8    `json:"kind"`
	Service            string   `json:"service"`
	Team               string   `json:"team,omitempty"`
	Object             string   `json:"object,omitempty"`
	LatencyObjectiveMs int64    `json:"latency-objective-ms,omitempty"`
	RouteRegions       []string `json:"route-regions,omitempty"`
	TeamRegions        []string `json:"team-regions,omitempty"`
	Attempts           int      `json:"attempts"`
}

// refusalRecord is the JSON form of relay.PeerRefusal.
type refusalRecord struct {
	Outcome      uint8  `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
	Sends        int    `json:"sends,omitempty"`
}

// targetRecord is the JSON form of relay.ForwardedTarget.
type targetRecord struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"started-at,omitempty"`
}

// Codec implements relay.PeerCodec.
type Codec struct{}

var _ relay.PeerCodec = Codec{}

// SetTerms implements relay.PeerCodec.
func (Codec) SetTerms(h http.Header, t admit.Terms) error {
	if err := setJSON(h, headerTerms, termsRecord{
		Route: t.Route(), Kind: uint8(t.Kind()), Service: string(t.Service()), Team: string(t.Team()), Object: t.Object(),
		LatencyObjectiveMs: t.LatencyObjective().Milliseconds(), RouteRegions: namesOf(t.RouteRegions()),
		TeamRegions: namesOf(t.TeamRegions()), Attempts: t.Attempts(),
	}); err != nil {
		return fmt.Errorf("terms of a request: %w", err)
	}
	return nil
}

// termsOf returns the terms of a request.
func termsOf(h http.Header) (admit.Terms, error) {
	var r termsRecord
	text := h.Get(headerTerms)
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return admit.Terms{}, fmt.Errorf("terms of a request: %w", err)
	}
	kind := scheme.Kind(r.Kind)
	if kind < scheme.Retryable || kind > scheme.Bulk || r.Attempts < 1 || r.Service == "" {
		return admit.Terms{}, fmt.Errorf("terms of a request: %q are invalid", text)
	}
	return admit.NewTerms(r.Route, kind, ident.Service(r.Service), ident.Team(r.Team), r.Object,
		time.Duration(r.LatencyObjectiveMs)*time.Millisecond, regionsOf(r.RouteRegions), regionsOf(r.TeamRegions),
		r.Attempts), nil
}

// TakeRefusal implements relay.PeerCodec. A refusal that cannot be decoded counts
// as one of a request that may have run.
func (Codec) TakeRefusal(h http.Header) (relay.PeerRefusal, bool) {
	text := h.Get(headerRefusal)
	if text == "" {
		return relay.PeerRefusal{}, false
	}
	var r refusalRecord
	if err := json.Unmarshal([]byte(text), &r); err != nil || r.Outcome < uint8(relay.NotRun) || r.Outcome > uint8(relay.Late) {
		return relay.NewPeerRefusal(relay.Unknown, admit.NoAttempts, 0, 1), true
	}
	return relay.NewPeerRefusal(relay.Outcome(r.Outcome), admit.Reason(r.Reason),
		time.Duration(r.RetryAfterMs)*time.Millisecond, r.Sends), true
}

// TakeTarget implements relay.PeerCodec.
func (Codec) TakeTarget(h http.Header) ident.Option[relay.ForwardedTarget] {
	text := h.Get(headerTarget)
	h.Del(headerTarget)
	var r targetRecord
	if err := json.Unmarshal([]byte(text), &r); err != nil || r.ID == "" {
		return ident.None[relay.ForwardedTarget]()
	}
	return ident.Some(relay.NewForwardedTarget(ident.Target(r.ID), r.StartedAt))
}

func setJSON(h http.Header, name string, record any) error {
	data, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	h.Set(name, string(data))
	return nil
}

func namesOf(regions []ident.Region) []string {
	var names []string
	for _, r := range regions {
		names = append(names, string(r))
	}
	return names
}

func regionsOf(names []string) []ident.Region {
	var regions []ident.Region
	for _, n := range names {
		regions = append(regions, ident.Region(n))
	}
	return regions
}
