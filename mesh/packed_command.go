package mesh

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"

	"rhubarbrack/ident"
	"rhubarbrack/patch"
	"rhubarbrack/wire"
)

// minPackedBytes is the size from which commands and configurations are packed
// for other control hosts. A large one takes seconds over a connection between
// regions.
const minPackedBytes = 64 << 10

// submitTo submits a command to the leader. A leader of an earlier release takes
// no packed commands and gets it as it is. It takes a conditional order as an
// unconditional one.
func submitTo(ctx context.Context, client *wire.Client, command []byte, asOf ident.Option[ident.Revision]) error {
	var reply SubmitReplyRecord
	if len(command) >= minPackedBytes {
		packed, err := patch.Encode(nil, command)
		if err != nil {
			return fmt.Errorf("pack command: %w", err)
		}
		record := PackedSubmitRecord{Packed: packed, Digest: patch.DigestOf(command)}
		err = client.Call(ctx, methodSubmitPacked, &record, &reply)
		if !isUnknownMethod(err, methodSubmitPacked) {
			return wrapSubmit(err)
		}
	}
	if err := client.Call(ctx, methodSubmit, newSubmitRecord(command, asOf), &reply); err != nil {
		return wrapSubmit(err)
	}
	if reply.Superseded {
		return wrapSubmit(ErrSuperseded)
	}
	return nil
}

func wrapSubmit(err error) error {
	if err != nil {
		return fmt.Errorf("ask the leader: %w", err)
	}
	return nil
}

// isUnknownMethod reports whether a call failed because the peer lacks the method.
func isUnknownMethod(err error, method string) bool {
	var refused rpc.ServerError
	return errors.As(err, &refused) && string(refused) == "rpc: can't find method "+method
}

// pack replaces a large source by its packed form.
func (r StateRecord) pack() (StateRecord, error) {
	if len(r.Source) < minPackedBytes {
		return r, nil
	}
	packed, err := patch.Encode(nil, r.Source)
	if err != nil {
		return StateRecord{}, fmt.Errorf("pack configuration: %w", err)
	}
	r.Packed, r.Digest, r.Source = packed, patch.DigestOf(r.Source), nil
	return r, nil
}

// unpack reverses pack.
func (r StateRecord) unpack() (StateRecord, error) {
	if len(r.Packed) == 0 {
		return r, nil
	}
	source, err := patch.Decode(nil, r.Packed, r.Digest)
	if err != nil {
		return StateRecord{}, fmt.Errorf("unpack configuration: %w", err)
	}
	r.Source, r.Packed = source, nil
	return r, nil
}
