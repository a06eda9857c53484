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

const entry = `{"id":"t1","service":"s","address":"127.0.0.1:80","zone":"z","region":"r","slots":4,"state":"live"}`

// Guards against lists that are understood in part.
func TestDecode(t *testing.T) {
	cases := []struct {
		name, body string
		limit      int64
		want       int
		wantErr    error
	}{
		{name: "empty list", body: `{"hosts":[]}`},
		{name: "one", body: `{"hosts":[` + entry + `]}` + "\n", want: 1},
		{name: "IPv6", body: `{"hosts":[` + strings.Replace(entry, "127.0.0.1:80", "[::1]:80", 1) + `]}`, want: 1},
		{name: "no list", body: `{}`, wantErr: ErrMalformed},
		{name: "null", body: `{"hosts":null}`, wantErr: ErrMalformed},
		{name: "cut off", body: `{"hosts":[` + entry, wantErr: ErrMalformed},
		{name: "trailing data", body: `{"hosts":[]}{"hosts":[]}`, wantErr: ErrMalformed},
		{name: "unknown field", body: `{"hosts":[],"more":1}`, wantErr: ErrMalformed},
		{name: "repeated id", body: `{"hosts":[` + entry + `,` + entry + `]}`, wantErr: ErrMalformed},
		{name: "host name as address", body: `{"hosts":[` + strings.Replace(entry, "127.0.0.1", "localhost", 1) + `]}`, wantErr: ErrMalformed},
		{name: "no port", body: `{"hosts":[` + strings.Replace(entry, ":80", ":0", 1) + `]}`, wantErr: ErrMalformed},
		{name: "no slots", body: `{"hosts":[` + strings.Replace(entry, `"slots":4`, `"slots":0`, 1) + `]}`, wantErr: ErrMalformed},
		{name: "unknown state", body: `{"hosts":[` + strings.Replace(entry, "live", "gone", 1) + `]}`, wantErr: ErrMalformed},
		{name: "malformed name", body: `{"hosts":[` + strings.Replace(entry, "t1", "T 1", 1) + `]}`, wantErr: ErrMalformed},
		{name: "too large", body: `{"hosts":[` + entry + `]}`, limit: 20, wantErr: ErrTooLarge},
		{name: "padded beyond the limit", body: `{"hosts":[]}` + strings.Repeat(" ", 100), limit: 50, wantErr: ErrTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.limit == 0 {
				tc.limit = 1 << 10
			}
			got, err := Decode(strings.NewReader(tc.body), tc.limit)
			if len(got) != tc.want || !errors.Is(err, tc.wantErr) {
				t.Errorf("Decode = %d entries, %v; want %d, %v", len(got), err, tc.want, tc.wantErr)
			}
		})
	}
}

// lists is a sink that hands on each list.
type lists chan List

func (l lists) Tell(message any) { l <- message.(List) }

// watchedClock tells when a timer has been set.
type watchedClock struct {
	*clock.Manual
	set chan struct{}
}

func (c watchedClock) NewTimer(d time.Duration) clock.Timer {
	defer func() { c.set <- struct{}{} }()
	return c.Manual.NewTimer(d)
}

// Guards against a failed poll that empties the list or makes it look fresh:
// each step is one poll, a second after the one before.
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
		answer   http.HandlerFunc
		targets  int
		received bool
		changes  uint64
		age      time.Duration
		wantErr  error
	}{
		{name: "error before the first list", answer: status(500), wantErr: ErrStatus},
		{name: "not modified before the first list", answer: status(304), wantErr: ErrStatus},
		{name: "first list", answer: list(`"a"`, `{"hosts":[`+entry+`]}`), targets: 1, received: true, changes: 1},
		{name: "not modified", answer: list(`"a"`, "must not be read"), targets: 1, received: true, changes: 1},
		{name: "server error", answer: status(503), targets: 1, received: true, changes: 1, age: time.Second, wantErr: ErrStatus},
		{name: "redirect", answer: status(302), targets: 1, received: true, changes: 1, age: 2 * time.Second, wantErr: ErrStatus},
		{name: "malformed", answer: list(`"b"`, `{"hosts":[{}]}`), targets: 1, received: true, changes: 1, age: 3 * time.Second, wantErr: ErrMalformed},
		{name: "still the first", answer: list(`"a"`, "must not be read"), targets: 1, received: true, changes: 1},
		{name: "empty list", answer: list(`"c"`, `{"hosts":[]}`), received: true, changes: 2},
	}
	next := make(chan http.HandlerFunc, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (<-next)(w, r) }))
	defer server.Close()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	c := watchedClock{Manual: clock.NewManual(time.Unix(1000, 0)), set: make(chan struct{}, 64)}
	sink := make(lists, 1)
	l, err := StartLister(context.Background(), system, server.URL, sink, WithClock(c), WithInterval(time.Second),
		WithTimeout(time.Minute), WithLog(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range steps {
		next <- s.answer
		if i > 0 {
			<-c.set
			c.Advance(time.Second)
		}
		got := <-sink
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

// Guards against polls that pile up at a platform that does not answer, and
// against a stop that waits for it.
func TestListerPollsOnceAtATime(t *testing.T) {
	asked := make(chan struct{}, 16)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	}))
	defer server.Close()
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	c := watchedClock{Manual: clock.NewManual(time.Unix(1000, 0)), set: make(chan struct{}, 64)}
	l, err := StartLister(context.Background(), system, server.URL, make(lists, 16), WithClock(c), WithInterval(time.Second),
		WithTimeout(time.Minute), WithLog(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	<-asked
	for range 5 {
		<-c.set
		c.Advance(time.Second)
	}
	<-c.set
	l.Stop()
	<-l.Done()
	if n := len(asked); n != 0 {
		t.Errorf("%d further polls while the first was open", n)
	}
}
