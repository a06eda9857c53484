package wire

import (
	"context"
	"fmt"
	"net/rpc"
	"reflect"
)

// CallLocal invokes a method of a server of the same process, without a
// connection and without encoding. Arguments and reply are copied one level
// deep, so the method must not change what they refer to. Errors match
// ErrLost when ctx ends first; the reply must not be read then.
func CallLocal(ctx context.Context, server *rpc.Server, method string, args, reply any) error {
	c := &localCodec{method: method, args: args, reply: reply, result: make(chan error, 1)}
	go func() {
		if err := server.ServeRequest(c); err != nil {
			c.finish(err)
		}
	}()
	select {
	case err := <-c.result:
		if err != nil {
			return fmt.Errorf("call %s of this host: %w", method, err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("call %s of this host: %w: %w", method, ErrLost, ctx.Err())
	}
}

// localCodec passes one call to a server by value.
type localCodec struct {
	method      string
	args, reply any
	result      chan error
}

var _ rpc.ServerCodec = (*localCodec)(nil)

func (c *localCodec) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod, r.Seq = c.method, 1
	return nil
}

// ReadRequestBody copies the arguments. The body is nil when the server does
// not know the method.
func (c *localCodec) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	return assign(body, c.args)
}

func (c *localCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		c.finish(rpc.ServerError(r.Error))
		return nil
	}
	c.finish(assign(c.reply, body))
	return nil
}

func (c *localCodec) Close() error { return nil }

func (c *localCodec) finish(err error) {
	select {
	case c.result <- err:
	default:
	}
}

// assign copies the value that from points to into the one that to points to.
func assign(to, from any) error {
	target, source := reflect.ValueOf(to).Elem(), reflect.Indirect(reflect.ValueOf(from))
	if source.Type() != target.Type() {
		return fmt.Errorf("value has type %s, want %s", source.Type(), target.Type())
	}
	target.Set(source)
	return nil
}
