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
	// HeaderRequestID names the header with the request ID of a change.
	HeaderRequestID = "Request-Id"
	// callTimeout limits the time in which a control host handles one call.
	callTimeout = 8 * time.Second
	// maxWait limits how long a call waits for a revision to be in force.
	maxWait = 5 * time.Second
	// maxBodyBytes limits the request body of all calls but PUT /v1/documents.
	maxBodyBytes = 64 << 10
)

// Backend forwards calls to the control leader. *ctrl.Client implements it.
type Backend interface {
	// Propose commits a command and returns its outcome.
	Propose(ctx context.Context, command state.Command) (state.Outcome, error)
	// Read returns the state as of a confirmed revision. The state includes
	// the version history of the document of the kind and name, if given.
	Read(ctx context.Context, kind, name string) (ctrl.State, error)
	// InForce waits until every entry host with a lease has applied the
	// revision.
	InForce(ctx context.Context, revision ident.Revision) error
	// ChangeMember adds a control host, or removes it when the address is
	// empty.
	ChangeMember(ctx context.Context, host ident.Host, address string) error
}

var _ Backend = (*ctrl.Client)(nil)

// api implements the handlers of the API on a control host.
type api struct {
	backend Backend
}

// NewHandler returns the HTTP handler of the API on a control host.
func NewHandler(backend Backend, tokens []Token) http.Handler {
	a := &api{backend: backend}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/documents", a.putDocument)
	mux.HandleFunc("DELETE /v1/documents/{kind}/{name}", a.deleteDocument)
	mux.HandleFunc("GET /v1/documents", a.listDocuments)
	mux.HandleFunc("GET /v1/documents/{kind}/{name}", a.getDocument)
	mux.HandleFunc("GET /v1/documents/{kind}/{name}/history", a.getHistory)
	mux.HandleFunc("POST /v1/keys", a.issueKey)
	mux.HandleFunc("DELETE /v1/keys/{id}", a.withdrawKey)
	mux.HandleFunc("GET /v1/keys", a.listKeys)
	mux.HandleFunc("POST /v1/drains", a.planDrain)
	mux.HandleFunc("DELETE /v1/drains/{id}", a.cancelDrain)
	mux.HandleFunc("GET /v1/in-force", a.getProgress)
	mux.HandleFunc("GET /v1/status", a.getStatus)
	mux.HandleFunc("GET /v1/events", a.listEvents)
	mux.HandleFunc("PUT /v1/control-hosts/{host}", a.addControlHost)
	mux.HandleFunc("DELETE /v1/control-hosts/{host}", a.removeControlHost)
	return requireToken(tokens, mux)
}

func writeJSON(w http.ResponseWriter, status int, record any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// An error means that the client has disconnected, so it can't be reported.
	_ = encoder.Encode(record)
}

func writeError(w http.ResponseWriter, status int, reason, detail string) {
	writeJSON(w, status, ErrorRecord{Reason: reason, Detail: detail})
}

// writeUnavailable responds to a call that reached no leader or whose outcome is
// unknown.
func writeUnavailable(w http.ResponseWriter, err error) {
	reason := "no-leader"
	if errors.Is(err, ctrl.ErrUnknown) {
		reason = "outcome-unknown"
	}
	writeError(w, http.StatusServiceUnavailable, reason, err.Error()+"; send the call again with the same "+HeaderRequestID)
}

// propose commits a change and responds with its outcome.
func (a *api) propose(w http.ResponseWriter, r *http.Request, command state.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	outcome, err := a.backend.Propose(ctx, command)
	if err != nil {
		writeUnavailable(w, err)
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
	writeJSON(w, status, record)
}

// parseChange returns the request ID and the expected revision of a change. It
// writes an error response and returns false if they are malformed.
func parseChange(w http.ResponseWriter, r *http.Request) (ident.RequestID, ident.Revision, bool) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		writeError(w, http.StatusBadRequest, "request-id-missing", "a change needs the header "+HeaderRequestID+" with 1 to 128 bytes")
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
		writeError(w, http.StatusBadRequest, "expected-invalid", "the parameter expected must be a revision, got "+strconv.Quote(text))
		return "", 0, false
	}
	return ident.RequestID(id), ident.Revision(expected), true
}

// maxRequestIDBytes limits the length of the request ID of a change.
const maxRequestIDBytes = 128

func (a *api) putDocument(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := parseChange(w, r)
	if !ok {
		return
	}
	source, err := io.ReadAll(io.LimitReader(r.Body, codec.MaxDocumentBytes+1))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body-incomplete", err.Error())
		return
	}
	document, err := codec.DecodeDocument(source)
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, "document-invalid", err.Error())
		return
	}
	a.propose(w, r, state.NewPutDocument(id, expected, document, string(source)))
}

func (a *api) deleteDocument(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := parseChange(w, r)
	if !ok {
		return
	}
	a.propose(w, r, state.NewDeleteDocument(id, expected, prof.Kind(r.PathValue("kind")), r.PathValue("name")))
}

func (a *api) issueKey(w http.ResponseWriter, r *http.Request) {
	id, _, ok := parseChange(w, r)
	if !ok {
		return
	}
	var record KeyRecord
	if !decodeBody(w, r, &record) {
		return
	}
	digest, err := hex.DecodeString(record.SHA256)
	if err != nil || len(digest) != len(ident.Fingerprint{}) {
		writeError(w, http.StatusUnprocessableEntity, "key-invalid", "the field sha256 must hold 64 hexadecimal digits")
		return
	}
	a.propose(w, r, state.NewIssueKey(id, ident.KeyID(record.ID), ident.Team(record.Team), [32]byte(digest)))
}

func (a *api) withdrawKey(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := parseChange(w, r)
	if !ok {
		return
	}
	a.propose(w, r, state.NewWithdrawKey(id, expected, ident.KeyID(r.PathValue("id"))))
}

func (a *api) planDrain(w http.ResponseWriter, r *http.Request) {
	id, expected, ok := parseChange(w, r)
	if !ok {
		return
	}
	var record DrainRecord
	if !decodeBody(w, r, &record) {
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
	id, expected, ok := parseChange(w, r)
	if !ok {
		return
	}
	a.propose(w, r, state.NewCancelDrain(id, expected, state.DrainID(r.PathValue("id"))))
}

// decodeBody decodes a JSON body and rejects unknown fields. If the body is
// malformed, it writes an error response and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, record any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(record); err != nil {
		writeError(w, http.StatusBadRequest, "body-invalid", err.Error())
		return false
	}
	return true
}

func (a *api) getProgress(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "revision-invalid", "the parameter revision must be a number")
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	if a.backend.InForce(ctx, ident.Revision(revision)) == nil {
		writeJSON(w, http.StatusOK, ProgressRecord{Revision: revision, InForce: true, Behind: []string{}})
		return
	}
	current, ok := a.readState(w, r, "", "")
	if !ok {
		return
	}
	record := ProgressRecord{Revision: revision, Behind: []string{}}
	for _, m := range current.Config().Members() {
		if current.Applied(m.Host()) < ident.Revision(revision) {
			record.Behind = append(record.Behind, string(m.Host()))
		}
	}
	record.InForce = len(record.Behind) == 0
	writeJSON(w, http.StatusOK, record)
}

func (a *api) addControlHost(w http.ResponseWriter, r *http.Request) {
	var record AddControlHostRecord
	if !decodeBody(w, r, &record) {
		return
	}
	if record.Address == "" {
		writeError(w, http.StatusUnprocessableEntity, "address-missing", "the field address must hold an IP address and port")
		return
	}
	a.changeControlHost(w, r, record.Address)
}

func (a *api) removeControlHost(w http.ResponseWriter, r *http.Request) {
	a.changeControlHost(w, r, "")
}

func (a *api) changeControlHost(w http.ResponseWriter, r *http.Request, address string) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := a.backend.ChangeMember(ctx, ident.Host(r.PathValue("host")), address); err != nil {
		writeError(w, http.StatusServiceUnavailable, "member-unchanged", err.Error()+"; the call may be repeated")
		return
	}
	writeJSON(w, http.StatusOK, OutcomeRecord{Status: string(state.Accepted)})
}
