package oper

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
)

const (
	// ErrConflict means that somebody else changed the record first. The
	// outcome shows the current revision.
	ErrConflict = errors.ConstError("conflict")
	// ErrRefused means that the change was refused for the reason given.
	ErrRefused = errors.ConstError("refused")
	// ErrUnavailable means that no control host could serve the call. A
	// change may be sent again with the same request id.
	ErrUnavailable = errors.ConstError("no control host could serve the call")
)

const (
	// clientTimeout bounds one call of the client.
	clientTimeout = 10 * time.Second
	// clientRetryPause keeps the client from asking in a loop.
	clientRetryPause = 200 * time.Millisecond
	// maxAnswer bounds an answer of the API.
	maxAnswer = 64 << 20
	// AnyRevision as the expected revision changes whatever is current.
	AnyRevision = "any"
)

// Client calls the API of the control hosts, whichever of them answers. It is
// safe for concurrent use.
type Client struct {
	bases []string
	token string
	http  *http.Client
	clock clock.Clock
}

// ClientOption sets a part of a client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client, for TLS settings of its own.
func WithHTTPClient(c *http.Client) ClientOption { return func(o *Client) { o.http = c } }

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) ClientOption { return func(o *Client) { o.clock = c } }

// NewClient returns a client of the APIs at the base URLs, such as
// "http://127.0.0.1:7301", with an operator's token.
func NewClient(bases []string, token string, list ...ClientOption) *Client {
	c := &Client{bases: bases, token: token, http: &http.Client{Timeout: clientTimeout}, clock: clock.Wall()}
	for _, apply := range list {
		apply(c)
	}
	return c
}

// NewRequestID returns a fresh id for a change.
func NewRequestID() string { return rand.Text() }

// PutDocument puts a document in place of the version with the expected
// revision, 0 for none.
func (c *Client) PutDocument(ctx context.Context, id string, source []byte, expected uint64) (OutcomeRecord, error) {
	path := "/v1/documents?expected=" + strconv.FormatUint(expected, 10)
	return c.change(ctx, http.MethodPut, path, id, source)
}

// DeleteDocument deletes the version of a document with the expected revision.
func (c *Client) DeleteDocument(ctx context.Context, id, kind, name string, expected uint64) (OutcomeRecord, error) {
	path := documentPath(kind, name) + "?expected=" + strconv.FormatUint(expected, 10)
	return c.change(ctx, http.MethodDelete, path, id, nil)
}

// Document returns a document.
func (c *Client) Document(ctx context.Context, kind, name string) (DocumentRecord, error) {
	var out DocumentRecord
	if err := c.get(ctx, documentPath(kind, name), &out); err != nil {
		return out, fmt.Errorf("read %s %s: %w", kind, name, err)
	}
	return out, nil
}

// Documents returns all documents of a kind, or of all kinds when it is empty,
// without their texts.
func (c *Client) Documents(ctx context.Context, kind string) ([]DocumentRecord, error) {
	var out []DocumentRecord
	if err := c.get(ctx, "/v1/documents?kind="+url.QueryEscape(kind), &out); err != nil {
		return out, fmt.Errorf("list documents: %w", err)
	}
	return out, nil
}

// History returns the versions of a document, oldest first.
func (c *Client) History(ctx context.Context, kind, name string) ([]VersionRecord, error) {
	var out []VersionRecord
	if err := c.get(ctx, documentPath(kind, name)+"/history", &out); err != nil {
		return out, fmt.Errorf("read history of %s %s: %w", kind, name, err)
	}
	return out, nil
}

func documentPath(kind, name string) string {
	return "/v1/documents/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// IssueKey issues a key of which the record holds the digest.
func (c *Client) IssueKey(ctx context.Context, id string, key KeyRecord) (OutcomeRecord, error) {
	return c.changeJSON(ctx, "/v1/keys", id, key)
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, id, key string) (OutcomeRecord, error) {
	return c.change(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(key)+"?expected="+AnyRevision, id, nil)
}

// Keys returns the keys on record.
func (c *Client) Keys(ctx context.Context) ([]KeyRecord, error) {
	var out []KeyRecord
	if err := c.get(ctx, "/v1/keys", &out); err != nil {
		return out, fmt.Errorf("list keys: %w", err)
	}
	return out, nil
}

// PlanDrain plans a drain.
func (c *Client) PlanDrain(ctx context.Context, id string, drain DrainRecord) (OutcomeRecord, error) {
	return c.changeJSON(ctx, "/v1/drains", id, drain)
}

// CancelDrain cancels a drain.
func (c *Client) CancelDrain(ctx context.Context, id, drain string) (OutcomeRecord, error) {
	return c.change(ctx, http.MethodDelete, "/v1/drains/"+url.PathEscape(drain)+"?expected="+AnyRevision, id, nil)
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (StatusRecord, error) {
	var out StatusRecord
	if err := c.get(ctx, "/v1/status", &out); err != nil {
		return out, fmt.Errorf("read status: %w", err)
	}
	return out, nil
}

// Events returns the changes that the leader made by itself, oldest first.
func (c *Client) Events(ctx context.Context) ([]EventRecord, error) {
	var out []EventRecord
	if err := c.get(ctx, "/v1/events", &out); err != nil {
		return out, fmt.Errorf("read events: %w", err)
	}
	return out, nil
}

// InForce waits up to the given time for a revision to be in force.
func (c *Client) InForce(ctx context.Context, revision uint64, wait time.Duration) (ProgressRecord, error) {
	var out ProgressRecord
	if err := c.get(ctx, fmt.Sprintf("/v1/in-force?revision=%d&wait=%s", revision, wait), &out); err != nil {
		return out, fmt.Errorf("read progress of revision %d: %w", revision, err)
	}
	return out, nil
}

// Explain returns a request and the decisions on its way. The base URLs of the
// client must be those of entry hosts.
func (c *Client) Explain(ctx context.Context, id string) (ExplainRecord, error) {
	var out ExplainRecord
	if err := c.get(ctx, "/v1/explain/"+url.PathEscape(id), &out); err != nil {
		return out, fmt.Errorf("explain %s: %w", id, err)
	}
	return out, nil
}

// AddControlHost adds a control host at an address.
func (c *Client) AddControlHost(ctx context.Context, host, address string) error {
	body, err := json.Marshal(AddControlHostRecord{Address: address})
	if err != nil {
		return fmt.Errorf("encode control host: %w", err)
	}
	var out OutcomeRecord
	return c.call(ctx, http.MethodPut, "/v1/control-hosts/"+url.PathEscape(host), "", body, &out)
}

// RemoveControlHost removes a control host.
func (c *Client) RemoveControlHost(ctx context.Context, host string) error {
	var out OutcomeRecord
	return c.call(ctx, http.MethodDelete, "/v1/control-hosts/"+url.PathEscape(host), "", nil, &out)
}

func (c *Client) changeJSON(ctx context.Context, path, id string, record any) (OutcomeRecord, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return OutcomeRecord{}, fmt.Errorf("encode change: %w", err)
	}
	return c.change(ctx, http.MethodPost, path, id, body)
}

func (c *Client) change(ctx context.Context, method, path, id string, body []byte) (OutcomeRecord, error) {
	var out OutcomeRecord
	if err := c.call(ctx, method, path, id, body, &out); err != nil {
		return out, fmt.Errorf("send change %s: %w", id, err)
	}
	return out, nil
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, "", nil, out)
}

// call asks one base after the other until one serves the call or ctx ends.
// Repeating a change is safe, since it carries its id.
func (c *Client) call(ctx context.Context, method, path, id string, body []byte, out any) error {
	var last error
	for round := 0; ; round++ {
		for _, base := range c.bases {
			err := c.callOne(ctx, method, base+path, id, body, out)
			if err == nil {
				return nil
			}
			if !errors.Is(err, ErrUnavailable) {
				return fmt.Errorf("call API: %w", err)
			}
			last = err
		}
		if !clock.Sleep(ctx, c.clock, clientRetryPause) {
			return fmt.Errorf("%w: %w", last, ctx.Err())
		}
	}
}

func (c *Client) callOne(ctx context.Context, method, address, id string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("prepare call: %w", err)
	}
	request.Header.Set("Authorization", bearer+c.token)
	if id != "" {
		request.Header.Set(HeaderRequestID, id)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrUnavailable, err)
	}
	return c.judge(response.StatusCode, data, out)
}

// judge turns an answer into a record or a typed error.
func (c *Client) judge(status int, data []byte, out any) error {
	if status == http.StatusOK || isOutcome(status, out) {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
	}
	if status == http.StatusOK {
		return nil
	}
	var record ErrorRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	switch status {
	case http.StatusConflict:
		return fmt.Errorf("%w: the record was changed in the meantime", ErrConflict)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s: %s", ErrUnavailable, record.Reason, record.Detail)
	}
	return fmt.Errorf("%w: %s: %s", ErrRefused, record.Reason, record.Detail)
}

func isOutcome(status int, out any) bool {
	_, ok := out.(*OutcomeRecord)
	return ok && (status == http.StatusConflict || status == http.StatusUnprocessableEntity)
}
