package oper

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/codec"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

const (
	// HeaderRequestID carries the id of a change.
	HeaderRequestID = "Request-Id"
	// callTimeout bounds one call of an operator.
	callTimeout = 8 * time.Second
	// maxWait bounds how long a call waits for a revision to be in force.
	maxWait = 5 * time.Second
	// maxBody bounds the body of a call that is not a document.
	maxBody = 64 << 10
)

// Backend reaches the control leader. A ctrl.Client is one.
type Backend interface {
	// Propose commits a command.
	Propose(ctx context.Context, command state.Command) (state.Outcome, error)
	// Read returns the state as of a confirmed revision.
	Read(ctx context.Context, kind, name string) (ctrl.State, error)
	// InForce waits until every entry host with a lease has applied the
	// revision.
	InForce(ctx context.Context, revision ident.Revision) error
	// ChangeMember adds a control host, or removes it when the address is
	// empty.
	ChangeMember(ctx context.Context, host ident.Host, address string) error
}

var _ Backend = (*ctrl.Client)(nil)

// api serves the calls on a control host.
type api struct {
	backend Backend
}

// NewHandler returns the handler of the API on a control host.
func NewHandler(backend Backend, tokens []Token) http.Handler {
	a := &api{backend: backend}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/documents", a.putDocument)
	mux.HandleFunc("DELETE /v1/documents/{kind}/{name}", a.deleteDocument)
	mux.HandleFunc("GET /v1/documents", a.listDocuments)
	mux.HandleFunc("GET /v1/documents/{kind}/{name}", a.getDocument)
	mux.HandleFunc("GET /v1/documents/{kind}/{name}/history", a.history)
	mux.HandleFunc("POST /v1/keys", a.issueKey)
	mux.HandleFunc("DELETE /v1/keys/{id}", a.withdrawKey)
	mux.HandleFunc("GET /v1/keys", a.listKeys)
	mux.HandleFunc("POST /v1/drains", a.planDrain)
	mux.HandleFunc("DELETE /v1/drains/{id}", a.cancelDrain)
	mux.HandleFunc("GET /v1/in-force", a.inForce)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /v1/events", a.events)
	mux.HandleFunc("PUT /v1/control-hosts/{host}", a.addControl)
	mux.HandleFunc("DELETE /v1/control-hosts/{host}", a.removeControl)
	return guard(tokens, mux)
}

func reply(w http.ResponseWriter, status int, record any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The operator may be gone; there is nobody left to tell.
	_ = encoder.Encode(record)
}

func fail(w http.ResponseWriter, status int, reason, detail string) {
	reply(w, status, ErrorRecord{Reason: reason, Detail: detail})
}

// unavailable answers a call that found no leader or whose outcome is unknown.
func unavailable(w http.ResponseWriter, err error) {
	reason := "no-leader"
	if errors.Is(err, ctrl.ErrUnknown) {
		reason = "outcome-unknown"
	}
	fail(w, http.StatusServiceUnavailable, reason, err.Error()+"; send the call again with the same "+HeaderRequestID)
}

// propose commits a change and answers with its outcome.
func (a *api) propose(w http.ResponseWriter, r *http.Request, command state.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	outcome, err := a.backend.Propose(ctx, command)
	if err != nil {
		unavailable(w, err)
		return
	}
	record := OutcomeRecord{
		Status: string(outcome.Status()), Revision: uint64(outcome.Revision()), Resent: outcome.IsRetry(),
		Reason: string(outcome.Reason()), Detail: outcome.Detail(),
		Current: uint64(outcome.Current()), Source: outcome.CurrentSource(),
	}
	status := http.StatusOK
	switch outcome.Status() {
	case state.Conflict:
		status = http.StatusConflict
	case state.Refused:
		status = http.StatusUnprocessableEntity
	}
	reply(w, status, record)
}

// change returns the request id and the expected revision of a change. It
// answers the call itself when they are malformed.
func change(w http.ResponseWriter, r *http.Request) (ident.RequestID, ident.Revision, bool) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestID {
		fail(w, http.StatusBadRequest, "request-id-missing", "a change needs the header "+HeaderRequestID+" with 1 to 128 bytes")
		return "", 0, false
	}
	text := r.URL.Query().Get("expected")
	if text == "" {
		return ident.RequestID(id), 0, true
	}
	if text == "any" {
		return ident.RequestID(id), state.AnyRevision, true
	}
	expected, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "expected-invalid", "the parameter expected must be a revision, got "+strconv.Quote(text))
		return "", 0, false
	}
	return ident.RequestID(id), ident.Revision(expected), true
}

// maxRequestID is the longest id of a change, in bytes.
const maxRequestID = 128

func (a *api) putDocument(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := change(w, r)
	if !ok {
		return
	}
	source, err := io.ReadAll(io.LimitReader(r.Body, codec.MaxDocumentBytes+1))
	if err != nil {
		fail(w, http.StatusBadRequest, "body-incomplete", err.Error())
		return
	}
	document, err := codec.DecodeDocument(source)
	if err != nil {
		fail(w, http.StatusUnprocessableEntity, "document-invalid", err.Error())
		return
	}
	a.propose(w, r, state.NewPutDocument(id, expected, document, string(source)))
}

func (a *api) deleteDocument(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := change(w, r)
	if !ok {
		return
	}
	a.propose(w, r, state.NewDeleteDocument(id, expected, prof.Kind(r.PathValue("kind")), r.PathValue("name")))
}

func (a *api) issueKey(w http.ResponseWriter, r *http.Request) {
	id, _, ok := change(w, r)
	if !ok {
		return
	}
	var record KeyRecord
	if !decode(w, r, &record) {
		return
	}
	digest, err := hex.DecodeString(record.SHA256)
	if err != nil || len(digest) != len(ident.Fingerprint{}) {
		fail(w, http.StatusUnprocessableEntity, "key-invalid", "the field sha256 must hold 64 hexadecimal digits")
		return
	}
	a.propose(w, r, state.NewIssueKey(id, ident.KeyID(record.ID), ident.Team(record.Team), [32]byte(digest)))
}

func (a *api) withdrawKey(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := change(w, r)
	if !ok {
		return
	}
	a.propose(w, r, state.NewWithdrawKey(id, expected, ident.KeyID(r.PathValue("id"))))
}

func (a *api) planDrain(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := change(w, r)
	if !ok {
		return
	}
	var record DrainRecord
	if !decode(w, r, &record) {
		return
	}
	var until time.Time
	if record.Until != nil {
		until = *record.Until
	}
	scope := state.NewScope(state.ScopeKind(record.Scope), record.Name)
	a.propose(w, r, state.NewPlanDrain(id, expected, state.DrainID(record.ID), scope, record.From, until))
}

func (a *api) cancelDrain(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := change(w, r)
	if !ok {
		return
	}
	a.propose(w, r, state.NewCancelDrain(id, expected, state.DrainID(r.PathValue("id"))))
}

// decode reads a JSON body strictly and answers the call when it is malformed.
func decode(w http.ResponseWriter, r *http.Request, record any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(record); err != nil {
		fail(w, http.StatusBadRequest, "body-invalid", err.Error())
		return false
	}
	return true
}

func (a *api) inForce(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "revision-invalid", "the parameter revision must be a number")
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	if a.backend.InForce(ctx, ident.Revision(revision)) == nil {
		reply(w, http.StatusOK, ProgressRecord{Revision: revision, InForce: true, Behind: []string{}})
		return
	}
	now, ok := a.read(w, r, "", "")
	if !ok {
		return
	}
	record := ProgressRecord{Revision: revision, Behind: []string{}}
	for _, m := range now.Config().Members() {
		if now.Applied(m.Host()) < ident.Revision(revision) {
			record.Behind = append(record.Behind, string(m.Host()))
		}
	}
	record.InForce = len(record.Behind) == 0
	reply(w, http.StatusOK, record)
}

func (a *api) addControl(w http.ResponseWriter, r *http.Request) {
	var record AddControlHostRecord
	if !decode(w, r, &record) {
		return
	}
	if record.Address == "" {
		fail(w, http.StatusUnprocessableEntity, "address-missing", "the field address must hold an IP address and port")
		return
	}
	a.changeControl(w, r, record.Address)
}

func (a *api) removeControl(w http.ResponseWriter, r *http.Request) { a.changeControl(w, r, "") }

func (a *api) changeControl(w http.ResponseWriter, r *http.Request, address string) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := a.backend.ChangeMember(ctx, ident.Host(r.PathValue("host")), address); err != nil {
		fail(w, http.StatusServiceUnavailable, "member-unchanged", err.Error()+"; the call may be repeated")
		return
	}
	reply(w, http.StatusOK, OutcomeRecord{Status: string(state.Accepted)})
}
