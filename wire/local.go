package wire

import (
	"context"
	"fmt"
	"net/rpc"
	"reflect"
)

// CallLocal invokes a method of a server in the same process, without a
// connection and without encoding. Arguments and reply are copied one level
// deep, so the method must not modify what they refer to. The reply is written
// only when there is no error. Errors match ErrResponseLost when ctx ends
// first.
func CallLocal(ctx context.Context, server *rpc.Server, method string, args, reply any) error {
	c := &localCodec{method: method, args: args, result: make(chan localResult, 1)}
	go func() {
		if err := server.ServeRequest(c); err != nil {
			c.finish(localResult{err: err})
		}
	}()
	select {
	case r := <-c.result:
		err := r.err
		if err == nil {
			err = copyValue(reply, r.body)
		}
		if err != nil {
			return fmt.Errorf("call %s of this host: %w", method, err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("call %s of this host: %w: %w", method, ErrResponseLost, ctx.Err())
	}
}

// localCodec passes one call to a server by value.
type localCodec struct {
	method string
	args   any
	result chan localResult
}

// localResult is the reply of the server or its error.
type localResult struct {
	body any
	err  error
}

var _ rpc.ServerCodec = (*localCodec)(nil)

func (c *localCodec) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod, r.Seq = c.method, 1
	return nil
}

// ReadRequestBody copies the arguments. The body is nil when the server does
// not have the method.
func (c *localCodec) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	return copyValue(body, c.args)
}

func (c *localCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		c.finish(localResult{err: rpc.ServerError(r.Error)})
		return nil
	}
	c.finish(localResult{body: body})
	return nil
}

func (c *localCodec) Close() error { return nil }

func (c *localCodec) finish(r localResult) {
	select {
	case c.result <- r:
	default:
	}
}

// copyValue copies the value that from points to into the one that to points
// to.
func copyValue(to, from any) error {
	target, source := reflect.ValueOf(to).Elem(), reflect.Indirect(reflect.ValueOf(from))
	if source.Type() != target.Type() {
		return fmt.Errorf("value has type %s, want %s", source.Type(), target.Type())
	}
	target.Set(source)
	return nil
}
