package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// channelConsumer sends each part of a body to a channel as it arrives.
type channelConsumer struct{ parts chan string }

func (channelConsumer) Start(int, http.Header) error { return nil }

func (c channelConsumer) Write(p []byte) (int, error) {
	c.parts <- string(p)
	return len(p), nil
}

// Guards against bodies that are buffered until they are complete: each side
// sends its second part only after the other has received the first.
func TestDispatchStreams(t *testing.T) {
	passed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		first := make([]byte, 5)
		_, _ = io.ReadFull(r.Body, first)
		_, _ = w.Write(first)
		_ = http.NewResponseController(w).Flush()
		<-passed
		rest, _ := io.ReadAll(r.Body)
		_, _ = w.Write(rest)
	}))
	defer server.Close()
	c := NewClient()
	defer c.Close()
	body, feed := io.Pipe()
	consumer := channelConsumer{parts: make(chan string)}
	r := mustRequest(t, "POST", "/x", WithBody(body, UnknownLength))
	results := make(chan Result, 1)
	go func() { results <- c.Dispatch(context.Background(), server.Listener.Addr().String(), r, consumer) }()
	_, _ = io.WriteString(feed, "first")
	if got := <-consumer.parts; got != "first" {
		t.Errorf("first part %q", got)
	}
	close(passed)
	_, _ = io.WriteString(feed, "second")
	_ = feed.Close()
	got := ""
	for got != "second" {
		got += <-consumer.parts
	}
	if result := <-results; result.Outcome() != Ran || result.Bytes() != 11 {
		t.Errorf("Dispatch = %v, %v, %d bytes", result.Outcome(), result.Err(), result.Bytes())
	}
}

// Guards against misread positions of a range.
func TestContentRange(t *testing.T) {
	cases := []struct {
		value              string
		first, last, total int64
		ok                 bool
	}{
		{value: "bytes 0-0/1", total: 1, ok: true},
		{value: "bytes 5-9/10", first: 5, last: 9, total: 10, ok: true},
		{value: "bytes 5-10/10"},
		{value: "bytes 5-4/10"},
		{value: "bytes -1-4/10"},
		{value: "bytes 0-4/*"},
		{value: "bytes */10"},
		{value: "items 0-4/10"},
		{value: "bytes 0-99999999999999999999/10"},
		{value: ""},
	}
	for _, tc := range cases {
		first, last, total, ok := parseContentRange(tc.value)
		if ok != tc.ok || ok && (first != tc.first || last != tc.last || total != tc.total) {
			t.Errorf("%q: %d-%d/%d, %v; want %+v", tc.value, first, last, total, ok, tc)
		}
	}
}
