package codec

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// contentRecord holds a document of any kind with its source text.
type contentRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Kind   string
	Record msgpack.RawMessage
	Source string
}

func contentRecordOf(document prof.Document, source string) (contentRecord, error) {
	record, err := documentRecordOf(document)
	if err != nil {
		return contentRecord{}, fmt.Errorf("content: %w", err)
	}
	raw, err := marshalMsgpack(record)
	if err != nil {
		return contentRecord{}, fmt.Errorf("encode %s %q: %w", document.Kind(), document.Name(), err)
	}
	return contentRecord{Kind: string(document.Kind()), Record: raw, Source: source}, nil
}

func (c contentRecord) document() (prof.Document, error) {
	record, ok := newDocumentRecord(c.Kind)
	if !ok {
		return nil, &KindError{got: c.Kind, want: "a kind of document"}
	}
	if err := unmarshalMsgpack(c.Kind, c.Record, record); err != nil {
		return nil, fmt.Errorf("content: %w", err)
	}
	document, err := record.document()
	if err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	return document, nil
}

type putDocumentRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Operator operatorRecord
	Content  contentRecord
}

func putDocumentRecordOf(c state.PutDocument) (*putDocumentRecord, error) {
	content, err := contentRecordOf(c.Document(), c.Source())
	if err != nil {
		return nil, fmt.Errorf("put document: %w", err)
	}
	return &putDocumentRecord{Operator: operatorRecordOf(c), Content: content}, nil
}

func (r *putDocumentRecord) command() (state.Command, error) {
	document, err := r.Content.document()
	if err != nil {
		return nil, fmt.Errorf("put document: %w", err)
	}
	return state.NewPutDocument(r.Operator.request(), r.Operator.expected(), document, r.Content.Source), nil
}

type deleteDocumentRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Operator   operatorRecord
	Kind, Name string
}

func (r *deleteDocumentRecord) command() (state.Command, error) {
	return state.NewDeleteDocument(r.Operator.request(), r.Operator.expected(), prof.Kind(r.Kind), r.Name), nil
}

type issueKeyRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Operator operatorRecord
	ID, Team string
	Hash     []byte
}

func issueKeyRecordOf(c state.IssueKey) *issueKeyRecord {
	hash := c.Hash()
	return &issueKeyRecord{Operator: operatorRecordOf(c), ID: string(c.ID()), Team: string(c.Team()), Hash: hash[:]}
}

func (r *issueKeyRecord) command() (state.Command, error) {
	hash, err := decodeDigest("key", r.Hash)
	if err != nil {
		return nil, fmt.Errorf("issue key: %w", err)
	}
	return state.NewIssueKey(r.Operator.request(), ident.KeyID(r.ID), ident.Team(r.Team), hash), nil
}

type withdrawKeyRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Operator operatorRecord
	ID       string
}

func (r *withdrawKeyRecord) command() (state.Command, error) {
	return state.NewWithdrawKey(r.Operator.request(), r.Operator.expected(), ident.KeyID(r.ID)), nil
}

type planDrainRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Operator        operatorRecord
	ID, Scope, Name string
	From, Until     int64
}

func planDrainRecordOf(c state.PlanDrain) *planDrainRecord {
	return &planDrainRecord{Operator: operatorRecordOf(c), ID: string(c.ID()), Scope: string(c.Scope().Kind()),
		Name: c.Scope().Name(), From: toUnixNanos(c.From()), Until: toUnixNanos(c.Until())}
}

func (r *planDrainRecord) command() (state.Command, error) {
	return state.NewPlanDrain(r.Operator.request(), r.Operator.expected(), state.DrainID(r.ID),
		state.NewScope(state.ScopeKind(r.Scope), r.Name), fromUnixNanos(r.From), fromUnixNanos(r.Until)), nil
}

type cancelDrainRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Operator operatorRecord
	ID       string
}

func (r *cancelDrainRecord) command() (state.Command, error) {
	return state.NewCancelDrain(r.Operator.request(), r.Operator.expected(), state.DrainID(r.ID)), nil
}
