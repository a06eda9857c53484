package codec

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
)

type shareRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Region string
	Part   float64
}

func shareRecordsOf(shares []state.Share) []shareRecord {
	out := make([]shareRecord, 0, len(shares))
	for _, s := range shares {
		out = append(out, shareRecord{Region: string(s.Region()), Part: s.Fraction()})
	}
	return out
}

func decodeShares(records []shareRecord) ([]state.Share, error) {
	out := make([]state.Share, 0, len(records))
	for _, r := range records {
		fraction, err := checkFinite("share", r.Part)
		if err != nil {
			return nil, fmt.Errorf("shares: %w", err)
		}
		out = append(out, state.NewShare(ident.Region(r.Region), fraction))
	}
	return out, nil
}

type setSharesRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Service, Origin string
	Shares          []shareRecord
}

func (r *setSharesRecord) command() (state.Command, error) {
	shares, err := decodeShares(r.Shares)
	if err != nil {
		return nil, fmt.Errorf("set shares: %w", err)
	}
	return state.NewSetShares(ident.Service(r.Service), ident.Region(r.Origin), shares), nil
}

type memberRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Host                       string
	Incarnation                uint64
	Zone, Region, Caller, Peer string
	State                      string
	Revision                   uint64
}

func memberRecordOf(m state.Member) memberRecord {
	return memberRecord{Host: string(m.Host()), Incarnation: uint64(m.Incarnation()), Zone: string(m.Zone()),
		Region: string(m.Region()), Caller: m.CallerAddress(), Peer: m.PeerAddress(),
		State: string(m.State()), Revision: uint64(m.Revision())}
}

func (r memberRecord) member() state.Member {
	m := state.NewMember(ident.Host(r.Host), ident.Incarnation(r.Incarnation), ident.Zone(r.Zone),
		ident.Region(r.Region), r.Caller, r.Peer)
	return m.WithState(state.MemberState(r.State), ident.Revision(r.Revision))
}

type joinRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Member memberRecord
}

func (r *joinRecord) command() (state.Command, error) { return state.NewJoin(r.Member.member()), nil }

type leaveRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Host        string
	Incarnation uint64
}

func (r *leaveRecord) command() (state.Command, error) {
	return state.NewLeave(ident.Host(r.Host), ident.Incarnation(r.Incarnation)), nil
}

type expireRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Host        string
	Incarnation uint64
}

func (r *expireRecord) command() (state.Command, error) {
	return state.NewExpire(ident.Host(r.Host), ident.Incarnation(r.Incarnation)), nil
}

type assignRoleRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Role, Host string
	Epoch      uint64
}

func (r *assignRoleRecord) command() (state.Command, error) {
	return state.NewAssignRole(state.RoleName(r.Role), ident.Host(r.Host), ident.Epoch(r.Epoch)), nil
}

type markSuspectRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Fingerprint []byte
	Crashes     int
	Until       int64
}

func (r *markSuspectRecord) command() (state.Command, error) {
	fingerprint, err := decodeDigest("suspect", r.Fingerprint)
	if err != nil {
		return nil, fmt.Errorf("mark suspect: %w", err)
	}
	return state.NewMarkSuspect(fingerprint, r.Crashes, fromUnixNanos(r.Until)), nil
}

// holderRecord holds the key and the holder of a claim.
type holderRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Team, Request, Host  string
	Incarnation, Attempt uint64
}

func holderRecordOf(k once.Key, h once.Holder) holderRecord {
	return holderRecord{Team: string(k.Team()), Request: string(k.Request()), Host: string(h.Host()),
		Incarnation: uint64(h.Incarnation()), Attempt: h.Sequence()}
}

func (r holderRecord) key() once.Key {
	return once.NewKey(ident.Team(r.Team), ident.RequestID(r.Request))
}

func (r holderRecord) holder() once.Holder {
	return once.NewHolder(ident.Host(r.Host), ident.Incarnation(r.Incarnation), r.Attempt)
}

type claimRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Holder      holderRecord
	Fingerprint []byte
}

func claimRecordOf(c state.Claim) *claimRecord {
	f := c.Fingerprint()
	return &claimRecord{Holder: holderRecordOf(c.Key(), c.Holder()), Fingerprint: f[:]}
}

func (r *claimRecord) command() (state.Command, error) {
	fingerprint, err := decodeDigest("claim", r.Fingerprint)
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	return state.NewClaim(r.Holder.key(), fingerprint, r.Holder.holder()), nil
}
