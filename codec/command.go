package codec

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// commandRecord is the encoded form of a kind of command.
type commandRecord interface {
	command() (state.Command, error)
}

// commandKinds holds a constructor of an empty record for each kind of
// command.
var commandKinds = map[string]func() commandRecord{
	"put-document":    func() commandRecord { return &putDocumentRecord{} },
	"delete-document": func() commandRecord { return &deleteDocumentRecord{} },
	"issue-key":       func() commandRecord { return &issueKeyRecord{} },
	"withdraw-key":    func() commandRecord { return &withdrawKeyRecord{} },
	"plan-drain":      func() commandRecord { return &planDrainRecord{} },
	"cancel-drain":    func() commandRecord { return &cancelDrainRecord{} },
	"set-shares":      func() commandRecord { return &setSharesRecord{} },
	"join":            func() commandRecord { return &joinRecord{} },
	"leave":           func() commandRecord { return &leaveRecord{} },
	"expire":          func() commandRecord { return &expireRecord{} },
	"assign-role":     func() commandRecord { return &assignRoleRecord{} },
	"mark-suspect":    func() commandRecord { return &markSuspectRecord{} },
	"claim":           func() commandRecord { return &claimRecord{} },
	"resolve":         func() commandRecord { return &resolveRecord{} },
}

// commandBody is the body of the envelope of a command: its timestamp and its
// record.
type commandBody struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	At     int64
	Record msgpack.RawMessage
}

// EncodeCommand encodes a command with its timestamp.
func EncodeCommand(command state.Command) ([]byte, error) {
	record, err := commandRecordOf(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	raw, err := marshalMsgpack(record)
	if err != nil {
		return nil, fmt.Errorf("encode command %s: %w", command.Kind(), err)
	}
	return encodeEnvelope(command.Kind(), &commandBody{At: toUnixNanos(command.At()), Record: raw})
}

// DecodeCommand decodes a command encoded by EncodeCommand. The error is a
// *VersionError, a *KindError, a *CorruptError or, for an invalid document, a
// *prof.ValidationError.
func DecodeCommand(data []byte) (state.Command, error) {
	e, err := decodeEnvelope("command", data)
	if err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	newRecord, ok := commandKinds[e.Kind]
	if !ok {
		return nil, fmt.Errorf("decode command: %w", &KindError{got: e.Kind, want: "a kind of command"})
	}
	var body commandBody
	if err := unmarshalMsgpack(e.Kind, e.Body, &body); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	record := newRecord()
	if err := unmarshalMsgpack(e.Kind, body.Record, record); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	command, err := record.command()
	if err != nil {
		return nil, fmt.Errorf("decode command %s: %w", e.Kind, err)
	}
	return state.Stamp(command, fromUnixNanos(body.At)), nil
}

// operatorRecord holds the fields that all operator commands have.
type operatorRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Request  string
	Expected uint64
}

func operatorRecordOf(o state.OperatorCommand) operatorRecord {
	return operatorRecord{Request: string(o.Request()), Expected: uint64(o.Expected())}
}

func (o operatorRecord) request() ident.RequestID { return ident.RequestID(o.Request) }

func (o operatorRecord) expected() ident.Revision { return ident.Revision(o.Expected) }

func commandRecordOf(command state.Command) (commandRecord, error) {
	switch c := command.(type) {
	case state.PutDocument:
		return putDocumentRecordOf(c)
	case state.DeleteDocument:
		return &deleteDocumentRecord{Operator: operatorRecordOf(c), Kind: string(c.DocumentKind()), Name: c.DocumentName()}, nil
	case state.IssueKey:
		return issueKeyRecordOf(c), nil
	case state.WithdrawKey:
		return &withdrawKeyRecord{Operator: operatorRecordOf(c), ID: string(c.ID())}, nil
	case state.PlanDrain:
		return planDrainRecordOf(c), nil
	case state.CancelDrain:
		return &cancelDrainRecord{Operator: operatorRecordOf(c), ID: string(c.ID())}, nil
	case state.SetShares:
		return &setSharesRecord{Service: string(c.Service()), Origin: string(c.Origin()),
			Shares: shareRecordsOf(c.Shares())}, nil
	case state.Join:
		return &joinRecord{Member: memberRecordOf(c.Member())}, nil
	case state.Leave:
		return &leaveRecord{Host: string(c.Host()), Incarnation: uint64(c.Incarnation())}, nil
	case state.Expire:
		return &expireRecord{Host: string(c.Host()), Incarnation: uint64(c.Incarnation())}, nil
	case state.AssignRole:
		return &assignRoleRecord{Role: string(c.Role()), Host: string(c.Host()), Epoch: uint64(c.Epoch())}, nil
	case state.MarkSuspect:
		f := c.Fingerprint()
		return &markSuspectRecord{Fingerprint: f[:], Crashes: c.Crashes(), Until: toUnixNanos(c.Until())}, nil
	case state.Claim:
		return claimRecordOf(c), nil
	case state.Resolve:
		return resolveRecordOf(c), nil
	}
	return nil, fmt.Errorf("%T is not a command", command)
}
