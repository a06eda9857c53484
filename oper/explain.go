package oper

import (
	"context"
	"net/http"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/ledger"
)

// Explainer looks up recorded requests. *ledger.Recorder implements it.
type Explainer interface {
	// Explain returns the recorded entry of a request, and false if there is
	// none or it has been discarded.
	Explain(ctx context.Context, id ident.RequestID) (ledger.Entry, bool, error)
}

// NewExplainHandler returns the HTTP handler of the API on an entry host.
func NewExplainHandler(explainer Explainer, tokens []Token) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		entry, ok, err := explainer.Explain(r.Context(), ident.RequestID(r.PathValue("id")))
		switch {
		case err != nil:
			writeError(w, http.StatusServiceUnavailable, "stopping", err.Error())
		case !ok:
			writeError(w, http.StatusNotFound, "unknown-request",
				"this entry host does not remember the request; its name is the first part of the id")
		default:
			writeJSON(w, http.StatusOK, explainRecord(entry))
		}
	})
	return requireToken(tokens, mux)
}

func explainRecord(e ledger.Entry) ExplainRecord {
	out := e.Result()
	record := ExplainRecord{
		Request: string(e.ID()), Method: e.Method(), Path: e.Path(), Service: string(out.Service()),
		Team: string(out.Team()), Class: string(out.Class()), Target: string(out.Target()),
		Outcome: string(out.Outcome()), Reason: string(out.Reason()), Detail: out.Detail(),
		Began: e.StartTime(), LatencyMS: milliseconds(e.Latency()), Steps: []StepRecord{},
	}
	for _, s := range out.Steps() {
		record.Steps = append(record.Steps, StepRecord{
			AfterMS: milliseconds(s.At().Sub(e.StartTime())), Step: s.Name(), Detail: s.Detail(),
		})
	}
	return record
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
