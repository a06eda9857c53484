package codec

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/state"
)

const (
	configKind  = "config"
	machineKind = "machine"
)

// configRecord is the encoded form of a state.Config.
type configRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Revision  uint64
	Documents []storedDocumentRecord
	Keys      []keyRecord
	Members   []memberRecord
	Roles     []roleRecord
	Shares    []sharesRecord
	Drains    []drainRecord
	Suspects  []suspectRecord
}

// EncodeConfig encodes a Config. Equal Configs have the same encoding.
func EncodeConfig(config *state.Config) ([]byte, error) {
	record, err := configRecordOf(config)
	if err != nil {
		return nil, fmt.Errorf("encode config: %w", err)
	}
	return encodeEnvelope(configKind, record)
}

// DecodeConfig decodes a Config encoded by EncodeConfig.
func DecodeConfig(data []byte) (*state.Config, error) {
	var record configRecord
	if err := decodeEnvelopeAs(configKind, data, &record); err != nil {
		return nil, fmt.Errorf("decode config: %w", err)
	}
	config, err := record.config()
	if err != nil {
		return nil, fmt.Errorf("decode config: %w", err)
	}
	return config, nil
}

func configRecordOf(c *state.Config) (*configRecord, error) {
	r := &configRecord{Revision: uint64(c.Revision())}
	for _, d := range c.Documents() {
		content, err := contentRecordOf(d.Document(), d.Source())
		if err != nil {
			return nil, fmt.Errorf("documents: %w", err)
		}
		r.Documents = append(r.Documents, storedDocumentRecord{Revision: uint64(d.Revision()), Content: content})
	}
	r.Keys = mapSlice(c.Keys(), keyRecordOf)
	r.Members = mapSlice(c.Members(), memberRecordOf)
	r.Roles = mapSlice(c.Roles(), roleRecordOf)
	r.Shares = mapSlice(c.AllShares(), sharesRecordOf)
	r.Drains = mapSlice(c.Drains(), drainRecordOf)
	r.Suspects = mapSlice(c.Suspects(), suspectRecordOf)
	return r, nil
}

func mapSlice[T, R any](values []T, convert func(T) R) []R {
	out := make([]R, 0, len(values))
	for _, v := range values {
		out = append(out, convert(v))
	}
	return out
}

func (r *configRecord) config() (*state.Config, error) {
	b := state.NewConfigBuilder(ident.Revision(r.Revision))
	for _, d := range r.Documents {
		document, err := d.Content.document()
		if err != nil {
			return nil, fmt.Errorf("documents: %w", err)
		}
		b.AddDocument(state.NewDocument(document, d.Content.Source, ident.Revision(d.Revision)))
	}
	for _, k := range r.Keys {
		hash, err := decodeDigest("key", k.Hash)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		b.AddKey(k.key(hash))
	}
	for _, m := range r.Members {
		b.AddMember(m.member())
	}
	for _, role := range r.Roles {
		b.AddRole(role.role())
	}
	for _, d := range r.Drains {
		b.AddDrain(d.drain())
	}
	if err := r.addSharesAndSuspects(b); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	config, err := b.Build()
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return config, nil
}

func (r *configRecord) addSharesAndSuspects(b *state.ConfigBuilder) error {
	for _, s := range r.Shares {
		shares, err := decodeShares(s.Shares)
		if err != nil {
			return fmt.Errorf("shares: %w", err)
		}
		b.AddShares(state.NewShares(ident.Service(s.Service), ident.Region(s.Origin), shares,
			fromUnixNanos(s.At), ident.Revision(s.Revision)))
	}
	for _, s := range r.Suspects {
		fingerprint, err := decodeDigest("suspect", s.Fingerprint)
		if err != nil {
			return fmt.Errorf("suspects: %w", err)
		}
		b.AddSuspect(state.NewSuspect(fingerprint, s.Crashes, fromUnixNanos(s.Until), ident.Revision(s.Revision)))
	}
	return nil
}

// machineRecord is the encoded form of a state.Machine.
type machineRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Revision  uint64
	Config    configRecord
	Claims    []claimSnapshotRecord
	Requests  []requestRecord
	Histories []historyRecord
	Ended     []endedProcessRecord
}

// EncodeMachine encodes a Machine. Equal Machines have the same encoding.
func EncodeMachine(m *state.Machine) ([]byte, error) { return SnapshotMachine(m)() }

// SnapshotMachine returns a function that encodes the current state of the
// Machine. The function may be called from another goroutine while the Machine
// changes. SnapshotMachine itself copies only lists of records.
func SnapshotMachine(m *state.Machine) func() ([]byte, error) {
	revision, config := m.Revision(), m.Config()
	claims, requests, histories, ended := m.Claims().Records(), m.Requests(), m.Histories(), m.EndedProcesses()
	return func() ([]byte, error) {
		record, err := configRecordOf(config)
		if err != nil {
			return nil, fmt.Errorf("encode machine: %w", err)
		}
		return encodeEnvelope(machineKind, &machineRecord{
			Revision: uint64(revision), Config: *record,
			Claims:    mapSlice(claims, claimSnapshotRecordOf),
			Requests:  mapSlice(requests, requestRecordOf),
			Histories: mapSlice(histories, historyRecordOf),
			Ended:     mapSlice(ended, endedProcessRecordOf),
		})
	}
}

// DecodeMachine decodes a Machine encoded by EncodeMachine. The options must
// be those of the encoded Machine.
func DecodeMachine(data []byte, options ...once.Option) (*state.Machine, error) {
	var record machineRecord
	if err := decodeEnvelopeAs(machineKind, data, &record); err != nil {
		return nil, fmt.Errorf("decode machine: %w", err)
	}
	m, err := record.machine(options)
	if err != nil {
		return nil, fmt.Errorf("decode machine: %w", err)
	}
	return m, nil
}

func (r *machineRecord) machine(options []once.Option) (*state.Machine, error) {
	config, err := r.Config.config()
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	b := state.NewMachineBuilder(ident.Revision(r.Revision), config, options...)
	claims := make([]once.Record, 0, len(r.Claims))
	for _, c := range r.Claims {
		record, err := c.record()
		if err != nil {
			return nil, fmt.Errorf("claims: %w", err)
		}
		claims = append(claims, record)
	}
	b.SetClaims(claims)
	for _, q := range r.Requests {
		request, err := q.request()
		if err != nil {
			return nil, fmt.Errorf("requests: %w", err)
		}
		b.AddRequest(request)
	}
	for _, h := range r.Histories {
		b.AddHistory(h.history())
	}
	for _, e := range r.Ended {
		b.AddEndedProcess(state.NewEndedProcess(ident.Host(e.Host), ident.Incarnation(e.Incarnation), fromUnixNanos(e.At)))
	}
	m, err := b.Build()
	if err != nil {
		return nil, &CorruptError{content: machineKind, err: err}
	}
	return m, nil
}
