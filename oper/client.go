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
	// ErrConflict means that the expected revision is not the current one,
	// because of another change. The outcome shows the current revision.
	ErrConflict = errors.ConstError("conflict")
	// ErrRefused means that the call was refused. The error text has the
	// reason.
	ErrRefused = errors.ConstError("refused")
	// ErrUnavailable means that no host could serve the call. A change may
	// have been committed nevertheless; retrying it with the same request ID
	// is safe.
	ErrUnavailable = errors.ConstError("no control host could serve the call")
)

const (
	// clientTimeout limits each HTTP request of the default HTTP client.
	clientTimeout = 10 * time.Second
	// clientRetryPause is the delay between two rounds over all base URLs.
	clientRetryPause = 200 * time.Millisecond
	// maxResponseBytes limits the size of a response of the API.
	maxResponseBytes = 64 << 20
	// AnyRevision as the expected revision of a change accepts any current
	// revision.
	AnyRevision = "any"
)

// Client calls the API at any of several hosts and falls back to the next one
// when a host is unavailable. It is safe for concurrent use.
type Client struct {
	baseURLs []string
	token    string
	http     *http.Client
	clock    clock.Clock
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client, for instance one with a TLS configuration.
func WithHTTPClient(c *http.Client) ClientOption { return func(o *Client) { o.http = c } }

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) ClientOption { return func(o *Client) { o.clock = c } }

// NewClient returns a client that calls the API at the base URLs, such as
// "http://127.0.0.1:7301", with an operator token.
func NewClient(baseURLs []string, token string, options ...ClientOption) *Client {
	c := &Client{baseURLs: baseURLs, token: token, http: &http.Client{Timeout: clientTimeout}, clock: clock.Wall()}
	for _, apply := range options {
		apply(c)
	}
	return c
}

// NewRequestID returns a random request ID for a change.
func NewRequestID() string { return rand.Text() }

// PutDocument creates a document, or replaces the version with the expected
// revision. An expected revision of 0 means that the document must not exist.
func (c *Client) PutDocument(ctx context.Context, id string, source []byte, expected uint64) (OutcomeRecord, error) {
	path := "/v1/documents?expected=" + strconv.FormatUint(expected, 10)
	return c.change(ctx, http.MethodPut, path, id, source)
}

// DeleteDocument deletes a document whose current revision is the expected one.
func (c *Client) DeleteDocument(ctx context.Context, id, kind, name string, expected uint64) (OutcomeRecord, error) {
	path := documentPath(kind, name) + "?expected=" + strconv.FormatUint(expected, 10)
	return c.change(ctx, http.MethodDelete, path, id, nil)
}

// Document returns a document with its source text.
func (c *Client) Document(ctx context.Context, kind, name string) (DocumentRecord, error) {
	var out DocumentRecord
	if err := c.get(ctx, documentPath(kind, name), &out); err != nil {
		return out, fmt.Errorf("read %s %s: %w", kind, name, err)
	}
	return out, nil
}

// Documents returns all documents of a kind, or of every kind if kind is empty.
// The source texts are omitted.
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

// IssueKey registers a key by the digest in the record.
func (c *Client) IssueKey(ctx context.Context, id string, key KeyRecord) (OutcomeRecord, error) {
	return c.changeJSON(ctx, "/v1/keys", id, key)
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, id, key string) (OutcomeRecord, error) {
	return c.change(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(key)+"?expected="+AnyRevision, id, nil)
}

// Keys returns all keys, including withdrawn ones.
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

// Status returns the state of the whole system: hosts, roles, shares, drains and
// suspected requests.
func (c *Client) Status(ctx context.Context) (StatusRecord, error) {
	var out StatusRecord
	if err := c.get(ctx, "/v1/status", &out); err != nil {
		return out, fmt.Errorf("read status: %w", err)
	}
	return out, nil
}

// Events returns the automatic changes that the leader made, oldest first.
func (c *Client) Events(ctx context.Context) ([]EventRecord, error) {
	var out []EventRecord
	if err := c.get(ctx, "/v1/events", &out); err != nil {
		return out, fmt.Errorf("read events: %w", err)
	}
	return out, nil
}

// InForce waits for a revision to be in force on every entry host. If the wait
// time passes first, it returns the progress so far.
func (c *Client) InForce(ctx context.Context, revision uint64, wait time.Duration) (ProgressRecord, error) {
	var out ProgressRecord
	if err := c.get(ctx, fmt.Sprintf("/v1/in-force?revision=%d&wait=%s", revision, wait), &out); err != nil {
		return out, fmt.Errorf("read progress of revision %d: %w", revision, err)
	}
	return out, nil
}

// Explain returns a request and the steps of its handling. The base URLs of the
// client must be those of entry hosts.
func (c *Client) Explain(ctx context.Context, id string) (ExplainRecord, error) {
	var out ExplainRecord
	if err := c.get(ctx, "/v1/explain/"+url.PathEscape(id), &out); err != nil {
		return out, fmt.Errorf("explain %s: %w", id, err)
	}
	return out, nil
}

// AddControlHost adds a control host with its peer address.
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

// call tries the base URLs in turn, in rounds, until one serves the call or ctx
// is done. Retrying a change is safe, since all attempts carry the same request
// ID.
func (c *Client) call(ctx context.Context, method, path, id string, body []byte, out any) error {
	var lastErr error
	for round := 0; ; round++ {
		for _, base := range c.baseURLs {
			err := c.callHost(ctx, method, base+path, id, body, out)
			if err == nil {
				return nil
			}
			if !errors.Is(err, ErrUnavailable) {
				return fmt.Errorf("call API: %w", err)
			}
			lastErr = err
		}
		if !clock.Sleep(ctx, c.clock, clientRetryPause) {
			return fmt.Errorf("%w: %w", lastErr, ctx.Err())
		}
	}
}

// callHost makes one attempt of a call at one host.
func (c *Client) callHost(ctx context.Context, method, requestURL, id string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Authorization", bearerPrefix+c.token)
	if id != "" {
		request.Header.Set(HeaderRequestID, id)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: read response: %w", ErrUnavailable, err)
	}
	return c.decodeResponse(response.StatusCode, data, out)
}

// decodeResponse decodes a response into out and returns the error that its status
// stands for. A refused or conflicting change yields both.
func (c *Client) decodeResponse(status int, data []byte, out any) error {
	if status == http.StatusOK || hasOutcome(status, out) {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("decode response: %w", err)
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

// hasOutcome reports whether an error response carries an OutcomeRecord.
func hasOutcome(status int, out any) bool {
	_, ok := out.(*OutcomeRecord)
	return ok && (status == http.StatusConflict || status == http.StatusUnprocessableEntity)
}
