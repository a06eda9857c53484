package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Client sends requests as the clients of the platform do.
type Client struct {
	client *http.Client
	next   atomic.Int64
}

// NewClient returns a client that keeps connections open.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}}
}

// Answer is what a client got.
type Answer struct {
	Request string
	SentAt  time.Time
	At      time.Time
	// Status is 0 if there was no complete answer.
	Status  int
	Stamped bool
	Body    string
	Err     error
}

// Send sends a request to a front address.
func (c *Client) Send(ctx context.Context, front, method, path string, deadline time.Duration) Answer {
	a := Answer{Request: fmt.Sprintf("q%08x", c.next.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	body := io.Reader(nil)
	if method == http.MethodPost {
		body = strings.NewReader("order " + a.Request)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, body)
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", a.Request)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.client.Do(r)
	a.At = time.Now()
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a.At = time.Now()
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Stamped, a.Body = response.StatusCode, response.Header.Get("Server-Stamp") != "", string(data)
	return a
}
