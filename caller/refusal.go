package caller

import (
	"encoding/json"
	"net/http"

	"rhubarbrack/ident"
	"rhubarbrack/route"
)

// RefusalRecord is the JSON form of a response that the system itself
// generates.
type RefusalRecord struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail,omitempty"`
	Request string `json:"request,omitempty"`
}

// ReasonBusy means that the entry host has too many requests in flight.
const ReasonBusy route.Reason = "host-busy"

// ReasonBadTimeout means that the timeout header is malformed.
const ReasonBadTimeout route.Reason = "timeout-invalid"

// statusByReason maps reasons to HTTP statuses. All other reasons mean that
// the system cannot serve the request at present.
var statusByReason = map[route.Reason]int{
	route.ReasonNoRoute:              http.StatusNotFound,
	route.ReasonMethodNotAllowed:     http.StatusMethodNotAllowed,
	route.ReasonNoKey:                http.StatusUnauthorized,
	route.ReasonBadKey:               http.StatusUnauthorized,
	route.ReasonWithdrawnKey:         http.StatusUnauthorized,
	route.ReasonRateExceeded:         http.StatusTooManyRequests,
	route.ReasonBodyIncomplete:       http.StatusBadRequest,
	route.ReasonBodyTooLarge:         http.StatusRequestEntityTooLarge,
	route.ReasonIdempotencyKey:       http.StatusBadRequest,
	route.ReasonBanned:               http.StatusUnprocessableEntity,
	route.ReasonRunning:              http.StatusConflict,
	route.ReasonNotRetried:           http.StatusConflict,
	route.ReasonIdempotencyKeyReused: http.StatusUnprocessableEntity,
	route.ReasonResponseNotStored:    http.StatusConflict,
	route.ReasonResponseLost:         http.StatusBadGateway,
	route.ReasonCrashed:              http.StatusBadGateway,
	route.ReasonDeadline:             http.StatusGatewayTimeout,
	ReasonBadTimeout:                 http.StatusBadRequest,
}

func statusOf(reason route.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// refuse responds to a request without a response of a target.
func refuse(w http.ResponseWriter, id ident.RequestID, out route.Result) {
	header := w.Header()
	header.Set(HeaderOutcome, string(out.Outcome()))
	header.Set(HeaderReason, string(out.Reason()))
	header.Set(HeaderRequest, string(id))
	header.Set("Content-Type", "application/json")
	if out.RetryAfter() > 0 {
		header.Set(headerRetryAfter, formatSeconds(out.RetryAfter()))
	}
	status := statusOf(out.Reason())
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(RefusalRecord{
		Outcome: string(out.Outcome()), Reason: string(out.Reason()),
		Detail: out.Detail(), Request: string(id),
	})
}
