package oper

import (
	"context"
	"net/http"

	"rhubarbrack/ctrl"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// readState reads the state from the leader. If no leader is available, it writes
// an error response and returns false.
func (a *api) readState(w http.ResponseWriter, r *http.Request, kind, name string) (ctrl.State, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	current, err := a.backend.Read(ctx, kind, name)
	if err != nil {
		writeUnavailable(w, err)
		return ctrl.State{}, false
	}
	return current, true
}

func (a *api) listDocuments(w http.ResponseWriter, r *http.Request) {
	current, ok := a.readState(w, r, "", "")
	if !ok {
		return
	}
	kind := prof.Kind(r.URL.Query().Get("kind"))
	out := []DocumentRecord{}
	for _, d := range current.Config().Documents() {
		if kind == "" || d.Document().Kind() == kind {
			out = append(out, documentRecord(d, false))
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// documentRecord returns the record of a document. The source text is included
// only on request.
func documentRecord(d state.Document, withSource bool) DocumentRecord {
	out := DocumentRecord{
		Kind: string(d.Document().Kind()), Name: d.Document().Name(), Revision: uint64(d.Revision()),
	}
	if withSource {
		out.Source = d.Source()
	}
	return out
}

func (a *api) getDocument(w http.ResponseWriter, r *http.Request) {
	current, ok := a.readState(w, r, "", "")
	if !ok {
		return
	}
	d, ok := current.Config().Document(prof.Kind(r.PathValue("kind")), r.PathValue("name"))
	if !ok {
		writeError(w, http.StatusNotFound, "unknown-document", "there is no "+r.PathValue("kind")+" named "+r.PathValue("name"))
		return
	}
	writeJSON(w, http.StatusOK, documentRecord(d, true))
}

func (a *api) getHistory(w http.ResponseWriter, r *http.Request) {
	current, ok := a.readState(w, r, r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		return
	}
	out := []VersionRecord{}
	for _, v := range current.History() {
		out = append(out, VersionRecord{
			Revision: uint64(v.Revision), At: v.At, Request: string(v.Request), Deleted: v.Deleted, Source: v.Source,
		})
	}
	writeJSON(w, http.StatusOK, out)
}

func (a *api) listKeys(w http.ResponseWriter, r *http.Request) {
	current, ok := a.readState(w, r, "", "")
	if !ok {
		return
	}
	out := []KeyRecord{}
	for _, k := range current.Config().Keys() {
		record := KeyRecord{ID: string(k.ID()), Team: string(k.Team()), Revision: uint64(k.Revision())}
		if !k.Valid() {
			at := k.WithdrawnAt()
			record.Withdrawn = &at
		}
		out = append(out, record)
	}
	writeJSON(w, http.StatusOK, out)
}

func (a *api) listEvents(w http.ResponseWriter, r *http.Request) {
	current, ok := a.readState(w, r, "", "")
	if !ok {
		return
	}
	out := []EventRecord{}
	for _, e := range current.Events() {
		out = append(out, EventRecord(e))
	}
	writeJSON(w, http.StatusOK, out)
}

func (a *api) getStatus(w http.ResponseWriter, r *http.Request) {
	current, ok := a.readState(w, r, "", "")
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, statusRecord(current))
}

func statusRecord(current ctrl.State) StatusRecord {
	config := current.Config()
	out := StatusRecord{
		Revision: uint64(config.Revision()), InForce: uint64(current.InForce()), Term: current.Term(),
		Controls: []ControlHostRecord{}, Entries: []EntryHostRecord{}, Roles: []RoleRecord{}, Shares: []SharesRecord{},
		Drains: []DrainRecord{}, Suspects: []SuspectRecord{},
	}
	for _, c := range current.ControlHosts() {
		out.Controls = append(out.Controls, controlHostRecord(c))
	}
	for _, m := range config.Members() {
		out.Entries = append(out.Entries, EntryHostRecord{
			Host: string(m.Host()), Incarnation: uint64(m.Incarnation()), Zone: string(m.Zone()),
			Region: string(m.Region()), State: string(m.State()), Address: m.CallerAddress(),
			Applied: uint64(current.Applied(m.Host())),
		})
	}
	for _, role := range config.Roles() {
		out.Roles = append(out.Roles, RoleRecord{
			Role: string(role.Name()), Host: string(role.Host()), Epoch: uint64(role.Epoch()),
		})
	}
	for _, s := range config.AllShares() {
		out.Shares = append(out.Shares, sharesRecord(s))
	}
	for _, d := range config.Drains() {
		out.Drains = append(out.Drains, drainRecord(d))
	}
	for _, s := range config.Suspects() {
		out.Suspects = append(out.Suspects, SuspectRecord{
			Fingerprint: s.Fingerprint().String(), Crashes: s.Crashes(), Until: s.Until(),
		})
	}
	return out
}

func controlHostRecord(c ctrl.ControlHostRecord) ControlHostRecord {
	role := "learner"
	switch {
	case c.IsLeader:
		role = "leader"
	case c.Voter:
		role = "voter"
	}
	return ControlHostRecord{
		Host: string(c.Host), Address: c.Address, Role: role, Match: uint64(c.Match), Contact: c.Contact,
	}
}

func sharesRecord(s state.Shares) SharesRecord {
	out := SharesRecord{
		Service: string(s.Service()), Origin: string(s.Origin()), At: s.At(), Shares: make(map[string]float64),
	}
	for _, part := range s.Shares() {
		out.Shares[string(part.Region())] = part.Fraction()
	}
	return out
}

func drainRecord(d state.Drain) DrainRecord {
	out := DrainRecord{
		ID: string(d.ID()), Scope: string(d.Scope().Kind()), Name: d.Scope().Name(), From: d.From(),
		State: string(d.State()), Revision: uint64(d.Revision()),
	}
	if until := d.Until(); !until.IsZero() {
		out.Until = &until
	}
	return out
}
