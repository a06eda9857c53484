package codec

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

type storedRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Revision uint64
	Content  contentRecord
}

type keyRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	ID, Team  string
	Hash      []byte
	Revision  uint64
	Withdrawn int64
}

func keyRecordOf(k state.Key) keyRecord {
	hash := k.Hash()
	return keyRecord{ID: string(k.ID()), Team: string(k.Team()), Hash: hash[:], Revision: uint64(k.Revision()),
		Withdrawn: nanos(k.WithdrawnAt())}
}

func (r keyRecord) key(hash [32]byte) state.Key {
	return state.NewKey(ident.KeyID(r.ID), ident.Team(r.Team), hash, ident.Revision(r.Revision), fromNanos(r.Withdrawn))
}

type roleRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Name, Host                   string
	Incarnation, Epoch, Revision uint64
}

func roleRecordOf(r state.Role) roleRecord {
	return roleRecord{Name: string(r.Name()), Host: string(r.Host()), Incarnation: uint64(r.Incarnation()),
		Epoch: uint64(r.Epoch()), Revision: uint64(r.Revision())}
}

func (r roleRecord) role() state.Role {
	return state.NewRole(state.RoleName(r.Name), ident.Host(r.Host), ident.Incarnation(r.Incarnation),
		ident.Epoch(r.Epoch), ident.Revision(r.Revision))
}

type sharesRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Service, Origin string
	Shares          []shareRecord
	At              int64
	Revision        uint64
}

func sharesRecordOf(s state.Shares) sharesRecord {
	return sharesRecord{Service: string(s.Service()), Origin: string(s.Origin()), Shares: shareRecordsOf(s.Shares()),
		At: nanos(s.At()), Revision: uint64(s.Revision())}
}

type drainRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	ID, Scope, Name, State string
	From, Until, Changed   int64
	Revision               uint64
}

func drainRecordOf(d state.Drain) drainRecord {
	return drainRecord{ID: string(d.ID()), Scope: string(d.Scope().Kind()), Name: d.Scope().Name(),
		State: string(d.State()), From: nanos(d.From()), Until: nanos(d.Until()), Changed: nanos(d.ChangedAt()),
		Revision: uint64(d.Revision())}
}

func (r drainRecord) drain() state.Drain {
	return state.NewDrain(state.DrainID(r.ID), state.NewScope(state.ScopeKind(r.Scope), r.Name), fromNanos(r.From),
		fromNanos(r.Until), state.DrainState(r.State), fromNanos(r.Changed), ident.Revision(r.Revision))
}

type suspectRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Fingerprint []byte
	Crashes     int
	Until       int64
	Revision    uint64
}

func suspectRecordOf(s state.Suspect) suspectRecord {
	f := s.Fingerprint()
	return suspectRecord{Fingerprint: f[:], Crashes: s.Crashes(), Until: nanos(s.Until()), Revision: uint64(s.Revision())}
}

type onceRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Holder      holderRecord
	Fingerprint []byte
	Claimed     int64
	Answer      answerRecord
}

func onceRecordOf(r once.Record) onceRecord {
	f := r.Fingerprint()
	return onceRecord{Holder: holderRecordOf(r.Key(), r.Holder()), Fingerprint: f[:], Claimed: nanos(r.ClaimedAt()),
		Answer: answerRecordOf(r.Status())}
}

func (r onceRecord) record() (once.Record, error) {
	fingerprint, err := fixed("claim", r.Fingerprint)
	if err != nil {
		return once.Record{}, fmt.Errorf("fingerprint: %w", err)
	}
	answer, err := r.Answer.answer()
	if err != nil {
		return once.Record{}, fmt.Errorf("answer: %w", err)
	}
	return once.NewRecord(r.Holder.key(), fingerprint, r.Holder.holder(), fromNanos(r.Claimed), answer), nil
}

type requestRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	ID      string
	Digest  []byte
	At      int64
	Outcome outcomeRecord
}

func requestRecordOf(r state.OperatorRequest) requestRecord {
	d := r.Digest()
	return requestRecord{ID: string(r.ID()), Digest: d[:], At: nanos(r.At()), Outcome: outcomeRecordOf(r.Outcome())}
}

func (r requestRecord) request() (state.OperatorRequest, error) {
	digest, err := fixed("request", r.Digest)
	if err != nil {
		return state.OperatorRequest{}, fmt.Errorf("digest: %w", err)
	}
	outcome, err := r.Outcome.outcome()
	if err != nil {
		return state.OperatorRequest{}, fmt.Errorf("outcome: %w", err)
	}
	return state.NewOperatorRequest(ident.RequestID(r.ID), digest, fromNanos(r.At), outcome), nil
}

type versionRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Revision        uint64
	At              int64
	Source, Request string
	Deleted         bool
}

type historyRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Kind, Name string
	Versions   []versionRecord
}

func historyRecordOf(h state.History) historyRecord {
	r := historyRecord{Kind: string(h.Kind()), Name: h.Name()}
	for _, v := range h.Versions() {
		r.Versions = append(r.Versions, versionRecord{Revision: uint64(v.Revision()), At: nanos(v.At()),
			Source: v.Source(), Request: string(v.Request()), Deleted: v.Deleted()})
	}
	return r
}

func (r historyRecord) history() state.History {
	versions := make([]state.Version, 0, len(r.Versions))
	for _, v := range r.Versions {
		versions = append(versions, state.NewVersion(ident.Revision(v.Revision), fromNanos(v.At), v.Source, v.Deleted,
			ident.RequestID(v.Request)))
	}
	return state.NewHistory(prof.Kind(r.Kind), r.Name, versions)
}

type endedRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Host        string
	Incarnation uint64
	At          int64
}

func endedRecordOf(e state.EndedProcess) endedRecord {
	return endedRecord{Host: string(e.Host()), Incarnation: uint64(e.Incarnation()), At: nanos(e.At())}
}
