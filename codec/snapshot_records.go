package codec

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// storedDocumentRecord is the encoded form of a state.Document.
type storedDocumentRecord struct {
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
		Withdrawn: toUnixNanos(k.WithdrawnAt())}
}

func (r keyRecord) key(hash [32]byte) state.Key {
	return state.NewKey(ident.KeyID(r.ID), ident.Team(r.Team), hash, ident.Revision(r.Revision), fromUnixNanos(r.Withdrawn))
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
		At: toUnixNanos(s.At()), Revision: uint64(s.Revision())}
}

type drainRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	ID, Scope, Name, State string
	From, Until, Changed   int64
	Revision               uint64
}

func drainRecordOf(d state.Drain) drainRecord {
	return drainRecord{ID: string(d.ID()), Scope: string(d.Scope().Kind()), Name: d.Scope().Name(),
		State: string(d.State()), From: toUnixNanos(d.From()), Until: toUnixNanos(d.Until()), Changed: toUnixNanos(d.ChangedAt()),
		Revision: uint64(d.Revision())}
}

func (r drainRecord) drain() state.Drain {
	return state.NewDrain(state.DrainID(r.ID), state.NewScope(state.ScopeKind(r.Scope), r.Name), fromUnixNanos(r.From),
		fromUnixNanos(r.Until), state.DrainState(r.State), fromUnixNanos(r.Changed), ident.Revision(r.Revision))
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
	return suspectRecord{Fingerprint: f[:], Crashes: s.Crashes(), Until: toUnixNanos(s.Until()), Revision: uint64(s.Revision())}
}

// claimSnapshotRecord is the encoded form of a once.Record.
type claimSnapshotRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Holder      holderRecord
	Fingerprint []byte
	Claimed     int64
	Answer      claimStatusRecord
}

func claimSnapshotRecordOf(r once.Record) claimSnapshotRecord {
	f := r.Fingerprint()
	return claimSnapshotRecord{Holder: holderRecordOf(r.Key(), r.Holder()), Fingerprint: f[:], Claimed: toUnixNanos(r.ClaimedAt()),
		Answer: claimStatusRecordOf(r.Status())}
}

func (r claimSnapshotRecord) record() (once.Record, error) {
	fingerprint, err := decodeDigest("claim", r.Fingerprint)
	if err != nil {
		return once.Record{}, fmt.Errorf("fingerprint: %w", err)
	}
	status, err := r.Answer.claimStatus()
	if err != nil {
		return once.Record{}, fmt.Errorf("status: %w", err)
	}
	return once.NewRecord(r.Holder.key(), fingerprint, r.Holder.holder(), fromUnixNanos(r.Claimed), status), nil
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
	return requestRecord{ID: string(r.ID()), Digest: d[:], At: toUnixNanos(r.At()), Outcome: outcomeRecordOf(r.Outcome())}
}

func (r requestRecord) request() (state.OperatorRequest, error) {
	digest, err := decodeDigest("request", r.Digest)
	if err != nil {
		return state.OperatorRequest{}, fmt.Errorf("digest: %w", err)
	}
	outcome, err := r.Outcome.outcome()
	if err != nil {
		return state.OperatorRequest{}, fmt.Errorf("outcome: %w", err)
	}
	return state.NewOperatorRequest(ident.RequestID(r.ID), digest, fromUnixNanos(r.At), outcome), nil
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
		r.Versions = append(r.Versions, versionRecord{Revision: uint64(v.Revision()), At: toUnixNanos(v.At()),
			Source: v.Source(), Request: string(v.Request()), Deleted: v.Deleted()})
	}
	return r
}

func (r historyRecord) history() state.History {
	versions := make([]state.Version, 0, len(r.Versions))
	for _, v := range r.Versions {
		versions = append(versions, state.NewVersion(ident.Revision(v.Revision), fromUnixNanos(v.At), v.Source, v.Deleted,
			ident.RequestID(v.Request)))
	}
	return state.NewHistory(prof.Kind(r.Kind), r.Name, versions)
}

type endedProcessRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Host        string
	Incarnation uint64
	At          int64
}

func endedProcessRecordOf(e state.EndedProcess) endedProcessRecord {
	return endedProcessRecord{Host: string(e.Host()), Incarnation: uint64(e.Incarnation()), At: toUnixNanos(e.At())}
}
