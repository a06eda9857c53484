package oper

import (
	"context"
	"net/http"

	"rhubarbrack/ctrl"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// read returns the state from the leader. It answers the call itself when
// there is none.
func (a *api) read(w http.ResponseWriter, r *http.Request, kind, name string) (ctrl.State, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	out, err := a.backend.Read(ctx, kind, name)
	if err != nil {
		unavailable(w, err)
		return ctrl.State{}, false
	}
	return out, true
}

func (a *api) listDocuments(w http.ResponseWriter, r *http.Request) {
	now, ok := a.read(w, r, "", "")
	if !ok {
		return
	}
	kind := prof.Kind(r.URL.Query().Get("kind"))
	out := []DocumentRecord{}
	for _, d := range now.Config().Documents() {
		if kind == "" || d.Document().Kind() == kind {
			out = append(out, documentRecord(d, false))
		}
	}
	reply(w, http.StatusOK, out)
}

func documentRecord(d state.Document, source bool) DocumentRecord {
	out := DocumentRecord{
		Kind: string(d.Document().Kind()), Name: d.Document().Name(), Revision: uint64(d.Revision()),
	}
	if source {
		out.Source = d.Source()
	}
	return out
}

func (a *api) getDocument(w http.ResponseWriter, r *http.Request) {
	now, ok := a.read(w, r, "", "")
	if !ok {
		return
	}
	d, ok := now.Config().Document(prof.Kind(r.PathValue("kind")), r.PathValue("name"))
	if !ok {
		fail(w, http.StatusNotFound, "unknown-document", "there is no "+r.PathValue("kind")+" named "+r.PathValue("name"))
		return
	}
	reply(w, http.StatusOK, documentRecord(d, true))
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	now, ok := a.read(w, r, r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		return
	}
	out := []VersionRecord{}
	for _, v := range now.History() {
		out = append(out, VersionRecord{
			Revision: uint64(v.Revision), At: v.At, Request: string(v.Request), Deleted: v.Deleted, Source: v.Source,
		})
	}
	reply(w, http.StatusOK, out)
}

func (a *api) listKeys(w http.ResponseWriter, r *http.Request) {
	now, ok := a.read(w, r, "", "")
	if !ok {
		return
	}
	out := []KeyRecord{}
	for _, k := range now.Config().Keys() {
		record := KeyRecord{ID: string(k.ID()), Team: string(k.Team()), Revision: uint64(k.Revision())}
		if !k.Valid() {
			at := k.WithdrawnAt()
			record.Withdrawn = &at
		}
		out = append(out, record)
	}
	reply(w, http.StatusOK, out)
}

func (a *api) events(w http.ResponseWriter, r *http.Request) {
	now, ok := a.read(w, r, "", "")
	if !ok {
		return
	}
	out := []EventRecord{}
	for _, e := range now.Events() {
		out = append(out, EventRecord(e))
	}
	reply(w, http.StatusOK, out)
}

func (a *api) status(w http.ResponseWriter, r *http.Request) {
	now, ok := a.read(w, r, "", "")
	if !ok {
		return
	}
	reply(w, http.StatusOK, statusRecord(now))
}

func statusRecord(now ctrl.State) StatusRecord {
	config := now.Config()
	out := StatusRecord{
		Revision: uint64(config.Revision()), InForce: uint64(now.InForce()), Term: now.Term(),
		Controls: []ControlHostRecord{}, Entries: []EntryHostRecord{}, Roles: []RoleRecord{}, Shares: []SharesRecord{},
		Drains: []DrainRecord{}, Suspects: []SuspectRecord{},
	}
	for _, c := range now.ControlHosts() {
		out.Controls = append(out.Controls, controlRecord(c))
	}
	for _, m := range config.Members() {
		out.Entries = append(out.Entries, EntryHostRecord{
			Host: string(m.Host()), Incarnation: uint64(m.Incarnation()), Zone: string(m.Zone()),
			Region: string(m.Region()), State: string(m.State()), Address: m.CallerAddress(),
			Applied: uint64(now.Applied(m.Host())),
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

func controlRecord(c ctrl.ControlHostRecord) ControlHostRecord {
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
