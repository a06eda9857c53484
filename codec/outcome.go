package codec

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
)

// The encoded claim states. They are independent of the constants of package
// once, which may change.
const (
	claimStateNone     = 0
	claimStateClaimed  = 1
	claimStateRunning  = 2
	claimStateRecorded = 3
	claimStateUnknown  = 4
)

var claimStates = map[int]once.State{
	claimStateClaimed:  once.Claimed,
	claimStateRunning:  once.Running,
	claimStateRecorded: once.Recorded,
	claimStateUnknown:  once.OutcomeUnknown,
}

// claimStatusRecord is the encoded form of a once.ClaimStatus.
type claimStatusRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	State  int
	Result *resultRecord
}

func claimStatusRecordOf(status once.ClaimStatus) claimStatusRecord {
	for number, s := range claimStates {
		if s != status.State() {
			continue
		}
		r := claimStatusRecord{State: number}
		if s == once.Recorded {
			result := resultRecordOf(status.Result())
			r.Result = &result
		}
		return r
	}
	return claimStatusRecord{State: claimStateNone}
}

func (r claimStatusRecord) claimStatus() (once.ClaimStatus, error) {
	if r.State == claimStateNone {
		return once.ClaimStatus{}, nil
	}
	s, ok := claimStates[r.State]
	if !ok {
		return once.ClaimStatus{}, &CorruptError{content: "claim", err: fmt.Errorf("state %d", r.State)}
	}
	var result once.Result
	if r.Result != nil {
		result = r.Result.result()
	}
	return once.NewClaimStatus(s, result), nil
}

type outcomeRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Status          string
	Revision        uint64
	Changed, Shared bool
	Resent          bool
	Reason, Detail  string
	Current         uint64
	Source          string
	Claim           claimStatusRecord
}

func outcomeRecordOf(o state.Outcome) outcomeRecord {
	return outcomeRecord{
		Status: string(o.Status()), Revision: uint64(o.Revision()), Changed: o.Changed(), Shared: o.Shared(), Resent: o.IsRetry(),
		Reason: string(o.Reason()), Detail: o.Detail(), Current: uint64(o.Current()), Source: o.CurrentSource(),
		Claim: claimStatusRecordOf(o.Claim()),
	}
}

func (r outcomeRecord) outcome() (state.Outcome, error) {
	status := state.Status(r.Status)
	if status != state.Accepted && status != state.Conflict && status != state.Refused {
		return state.Outcome{}, &KindError{got: r.Status, want: "accepted, conflict or refused"}
	}
	claimStatus, err := r.Claim.claimStatus()
	if err != nil {
		return state.Outcome{}, fmt.Errorf("claim: %w", err)
	}
	return state.NewOutcome(status, ident.Revision(r.Revision), state.WithChange(r.Changed), state.WithShared(r.Shared),
		state.WithRetry(r.Resent), state.WithReason(state.Reason(r.Reason), r.Detail),
		state.WithCurrent(ident.Revision(r.Current), r.Source), state.WithClaim(claimStatus)), nil
}

const outcomeKind = "outcome"

// EncodeOutcome encodes an outcome.
func EncodeOutcome(outcome state.Outcome) ([]byte, error) {
	record := outcomeRecordOf(outcome)
	return encodeEnvelope(outcomeKind, &record)
}

// DecodeOutcome decodes an outcome encoded by EncodeOutcome.
func DecodeOutcome(data []byte) (state.Outcome, error) {
	var record outcomeRecord
	if err := decodeEnvelopeAs(outcomeKind, data, &record); err != nil {
		return state.Outcome{}, fmt.Errorf("decode outcome: %w", err)
	}
	outcome, err := record.outcome()
	if err != nil {
		return state.Outcome{}, fmt.Errorf("decode outcome: %w", err)
	}
	return outcome, nil
}
