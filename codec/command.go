package codec

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// commandRecord is the record of one kind of command.
type commandRecord interface {
	command() (state.Command, error)
}

// commandKinds gives an empty record for each kind of command.
var commandKinds = map[string]func() commandRecord{
	"put-document":    func() commandRecord { return &putRecord{} },
	"delete-document": func() commandRecord { return &deleteRecord{} },
	"issue-key":       func() commandRecord { return &issueRecord{} },
	"withdraw-key":    func() commandRecord { return &withdrawRecord{} },
	"plan-drain":      func() commandRecord { return &planRecord{} },
	"cancel-drain":    func() commandRecord { return &cancelRecord{} },
	"set-shares":      func() commandRecord { return &setSharesRecord{} },
	"join":            func() commandRecord { return &joinRecord{} },
	"leave":           func() commandRecord { return &leaveRecord{} },
	"expire":          func() commandRecord { return &expireRecord{} },
	"assign-role":     func() commandRecord { return &assignRecord{} },
	"mark-suspect":    func() commandRecord { return &markRecord{} },
	"claim":           func() commandRecord { return &claimRecord{} },
	"resolve":         func() commandRecord { return &resolveRecord{} },
}

// commandBody carries the time beside the record, which lacks it.
type commandBody struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	At     int64
	Record msgpack.RawMessage
}

// EncodeCommand returns the bytes of a command with its time.
func EncodeCommand(command state.Command) ([]byte, error) {
	record, err := commandRecordOf(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	raw, err := pack(record)
	if err != nil {
		return nil, fmt.Errorf("encode command %s: %w", command.Kind(), err)
	}
	return seal(command.Kind(), &commandBody{At: nanos(command.At()), Record: raw})
}

// DecodeCommand reads a command from bytes of EncodeCommand. The errors are
// *VersionError, *KindError, *CorruptError and, for a document that is not
// valid, *prof.ValidationError.
func DecodeCommand(data []byte) (state.Command, error) {
	e, err := open("command", data)
	if err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	empty, ok := commandKinds[e.Kind]
	if !ok {
		return nil, fmt.Errorf("decode command: %w", &KindError{got: e.Kind, want: "a kind of command"})
	}
	var body commandBody
	if err := unpack(e.Kind, e.Body, &body); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	record := empty()
	if err := unpack(e.Kind, body.Record, record); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	command, err := record.command()
	if err != nil {
		return nil, fmt.Errorf("decode command %s: %w", e.Kind, err)
	}
	return state.Stamp(command, fromNanos(body.At)), nil
}

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
		return putRecordOf(c)
	case state.DeleteDocument:
		return &deleteRecord{Operator: operatorRecordOf(c), Kind: string(c.DocumentKind()), Name: c.DocumentName()}, nil
	case state.IssueKey:
		return issueRecordOf(c), nil
	case state.WithdrawKey:
		return &withdrawRecord{Operator: operatorRecordOf(c), ID: string(c.ID())}, nil
	case state.PlanDrain:
		return planRecordOf(c), nil
	case state.CancelDrain:
		return &cancelRecord{Operator: operatorRecordOf(c), ID: string(c.ID())}, nil
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
		return &assignRecord{Role: string(c.Role()), Host: string(c.Host()), Epoch: uint64(c.Epoch())}, nil
	case state.MarkSuspect:
		f := c.Fingerprint()
		return &markRecord{Fingerprint: f[:], Crashes: c.Crashes(), Until: nanos(c.Until())}, nil
	case state.Claim:
		return claimRecordOf(c), nil
	case state.Resolve:
		return resolveRecordOf(c), nil
	}
	return nil, fmt.Errorf("encode command: %T is not a command", command)
}
