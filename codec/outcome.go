package codec

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
)

const (
	claimNone     = 0
	claimClaimed  = 1
	claimRunning  = 2
	claimRecorded = 3
	claimLost     = 4
)

var claimStates = map[int]once.State{
	claimClaimed:  once.Claimed,
	claimRunning:  once.Running,
	claimRecorded: once.Recorded,
	claimLost:     once.OutcomeUnknown,
}

type answerRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	State  int
	Result *resultRecord
}

func answerRecordOf(a once.ClaimStatus) answerRecord {
	for number, s := range claimStates {
		if s != a.State() {
			continue
		}
		r := answerRecord{State: number}
		if s == once.Recorded {
			result := resultRecordOf(a.Result())
			r.Result = &result
		}
		return r
	}
	return answerRecord{State: claimNone}
}

func (r answerRecord) answer() (once.ClaimStatus, error) {
	if r.State == claimNone {
		return once.ClaimStatus{}, nil
	}
	s, ok := claimStates[r.State]
	if !ok {
		return once.ClaimStatus{}, &CorruptError{what: "claim", err: fmt.Errorf("state %d", r.State)}
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
	Claim           answerRecord
}

func outcomeRecordOf(o state.Outcome) outcomeRecord {
	return outcomeRecord{
		Status: string(o.Status()), Revision: uint64(o.Revision()), Changed: o.Changed(), Shared: o.Shared(), Resent: o.IsRetry(),
		Reason: string(o.Reason()), Detail: o.Detail(), Current: uint64(o.Current()), Source: o.CurrentSource(),
		Claim: answerRecordOf(o.Claim()),
	}
}

func (r outcomeRecord) outcome() (state.Outcome, error) {
	status := state.Status(r.Status)
	if status != state.Accepted && status != state.Conflict && status != state.Refused {
		return state.Outcome{}, &KindError{got: r.Status, want: "accepted, conflict or refused"}
	}
	answer, err := r.Claim.answer()
	if err != nil {
		return state.Outcome{}, fmt.Errorf("claim: %w", err)
	}
	return state.NewOutcome(status, ident.Revision(r.Revision), state.WithChange(r.Changed), state.WithShared(r.Shared),
		state.WithRetry(r.Resent), state.WithReason(state.Reason(r.Reason), r.Detail),
		state.WithCurrent(ident.Revision(r.Current), r.Source), state.WithClaim(answer)), nil
}

const outcomeKind = "outcome"

// EncodeOutcome returns the bytes of an outcome.
func EncodeOutcome(outcome state.Outcome) ([]byte, error) {
	record := outcomeRecordOf(outcome)
	return seal(outcomeKind, &record)
}

// DecodeOutcome reads an outcome from bytes of EncodeOutcome.
func DecodeOutcome(data []byte) (state.Outcome, error) {
	var record outcomeRecord
	if err := openAs(outcomeKind, data, &record); err != nil {
		return state.Outcome{}, fmt.Errorf("decode outcome: %w", err)
	}
	outcome, err := record.outcome()
	if err != nil {
		return state.Outcome{}, fmt.Errorf("decode outcome: %w", err)
	}
	return outcome, nil
}
