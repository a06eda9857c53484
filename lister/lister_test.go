package lister

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

const targetJSON = `{"id":"t1","service":"s","address":"127.0.0.1:80","zone":"z","region":"r","slots":4,"state":"live"}`

// TestDecode guards against partially decoded lists.
func TestDecode(t *testing.T) {
	cases := []struct {
		name, body string
		limit      int64
		want       int
		wantErr    error
	}{
		{name: "empty list", body: `{"hosts":[]}`},
		{name: "one", body: `{"hosts":[` + targetJSON + `]}` + "\n", want: 1},
		{name: "IPv6", body: `{"hosts":[` + strings.Replace(targetJSON, "127.0.0.1:80", "[::1]:80", 1) + `]}`, want: 1},
		{name: "no list", body: `{}`, wantErr: ErrMalformed},
		{name: "null", body: `{"hosts":null}`, wantErr: ErrMalformed},
		{name: "cut off", body: `{"hosts":[` + targetJSON, wantErr: ErrMalformed},
		{name: "trailing data", body: `{"hosts":[]}{"hosts":[]}`, wantErr: ErrMalformed},
		{name: "unknown field", body: `{"hosts":[],"more":1}`, wantErr: ErrMalformed},
		{name: "repeated id", body: `{"hosts":[` + targetJSON + `,` + targetJSON + `]}`, wantErr: ErrMalformed},
		{name: "host name as address", body: `{"hosts":[` + strings.Replace(targetJSON, "127.0.0.1", "localhost", 1) + `]}`, wantErr: ErrMalformed},
		{name: "no port", body: `{"hosts":[` + strings.Replace(targetJSON, ":80", ":0", 1) + `]}`, wantErr: ErrMalformed},
		{name: "no slots", body: `{"hosts":[` + strings.Replace(targetJSON, `"slots":4`, `"slots":0`, 1) + `]}`, wantErr: ErrMalformed},
		{name: "unknown state", body: `{"hosts":[` + strings.Replace(targetJSON, "live", "gone", 1) + `]}`, wantErr: ErrMalformed},
		{name: "malformed name", body: `{"hosts":[` + strings.Replace(targetJSON, "t1", "T 1", 1) + `]}`, wantErr: ErrMalformed},
		{name: "too large", body: `{"hosts":[` + targetJSON + `]}`, limit: 20, wantErr: ErrTooLarge},
		{name: "padded beyond the limit", body: `{"hosts":[]}` + strings.Repeat(" ", 100), limit: 50, wantErr: ErrTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.limit == 0 {
				tc.limit = 1 << 10
			}
			got, err := Decode(strings.NewReader(tc.body), tc.limit)
			if len(got) != tc.want || !errors.Is(err, tc.wantErr) {
				t.Errorf("Decode = %d targets, %v; want %d, %v", len(got), err, tc.want, tc.wantErr)
			}
		})
	}
}

// listChannel is a Listener that sends each list to a channel.
type listChannel chan List

func (l listChannel) Tell(message any) { l <- message.(List) }

// notifyingClock is a manual clock that signals when a timer has been set.
type notifyingClock struct {
	*clock.Manual
	timerSet chan struct{}
}

func (c notifyingClock) NewTimer(d time.Duration) clock.Timer {
	defer func() { c.timerSet <- struct{}{} }()
	return c.Manual.NewTimer(d)
}

// TestLister guards against a failed poll that empties the list or resets its
// age. Each step is one poll, one second after the previous one.
func TestLister(t *testing.T) {
	list := func(etag, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("If-None-Match") == etag {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			w.Header().Set("ETag", etag)
			_, _ = fmt.Fprint(w, body)
		}
	}
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(code)
		}
	}
	steps := []struct {
		name     string
		handler  http.HandlerFunc
		targets  int
		received bool
		changes  uint64
		age      time.Duration
		wantErr  error
	}{
		{name: "error before the first list", handler: status(500), wantErr: ErrStatus},
		{name: "not modified before the first list", handler: status(304), wantErr: ErrStatus},
		{name: "first list", handler: list(`"a"`, `{"hosts":[`+targetJSON+`]}`), targets: 1, received: true, changes: 1},
		{name: "not modified", handler: list(`"a"`, "must not be read"), targets: 1, received: true, changes: 1},
		{name: "server error", handler: status(503), targets: 1, received: true, changes: 1, age: time.Second, wantErr: ErrStatus},
		{name: "redirect", handler: status(302), targets: 1, received: true, changes: 1, age: 2 * time.Second, wantErr: ErrStatus},
		{name: "malformed", handler: list(`"b"`, `{"hosts":[{}]}`), targets: 1, received: true, changes: 1, age: 3 * time.Second, wantErr: ErrMalformed},
		{name: "still the first", handler: list(`"a"`, "must not be read"), targets: 1, received: true, changes: 1},
		{name: "empty list", handler: list(`"c"`, `{"hosts":[]}`), received: true, changes: 2},
	}
	next := make(chan http.HandlerFunc, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (<-next)(w, r) }))
	defer server.Close()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	c := notifyingClock{Manual: clock.NewManual(time.Unix(1000, 0)), timerSet: make(chan struct{}, 64)}
	received := make(listChannel, 1)
	l, err := StartLister(context.Background(), system, server.URL, received, WithClock(c), WithInterval(time.Second),
		WithTimeout(time.Minute), WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range steps {
		next <- s.handler
		if i > 0 {
			<-c.timerSet
			c.Advance(time.Second)
		}
		got := <-received
		if len(got.Targets()) != s.targets || got.Received() != s.received || got.Changes() != s.changes || !errors.Is(got.Err(), s.wantErr) {
			t.Errorf("%s: %d targets, received %v, %d changes, %v; want %+v", s.name, len(got.Targets()), got.Received(), got.Changes(), got.Err(), s)
		}
		if s.received && got.Age(c.Now()) != s.age {
			t.Errorf("%s: age %v, want %v", s.name, got.Age(c.Now()), s.age)
		}
	}
	l.Stop()
	<-l.Done()
}

// TestListerPollsOnceAtATime guards against polls that accumulate if the platform
// does not respond, and against a stop that waits for a response.
func TestListerPollsOnceAtATime(t *testing.T) {
	requested := make(chan struct{}, 16)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requested <- struct{}{}
		<-r.Context().Done()
	}))
	defer server.Close()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	c := notifyingClock{Manual: clock.NewManual(time.Unix(1000, 0)), timerSet: make(chan struct{}, 64)}
	l, err := StartLister(context.Background(), system, server.URL, make(listChannel, 16), WithClock(c), WithInterval(time.Second),
		WithTimeout(time.Minute), WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	<-requested
	for range 5 {
		<-c.timerSet
		c.Advance(time.Second)
	}
	<-c.timerSet
	l.Stop()
	<-l.Done()
	if n := len(requested); n != 0 {
		t.Errorf("%d further polls while the first was in flight", n)
	}
}
