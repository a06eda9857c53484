package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against downloads that are continued without a strong validator or
// without known positions.
func TestPartial(t *testing.T) {
	const sized = "\r\nContent-Length: 9\r\n\r\nabcd"
	cases := []struct{ name, method, answer, want string }{
		{name: "strong", method: "GET", answer: "200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes" + sized, want: `"a" from 4, 5 missing`},
		{name: "part of a range", method: "GET", answer: "206 Part\r\nETag: \"a\"\r\nContent-Range: bytes 10-18/50" + sized,
			want: `"a" from 14, 5 missing`},
		{name: "weak", method: "GET", answer: "200 OK\r\nETag: W/\"a\"\r\nAccept-Ranges: bytes" + sized},
		{name: "no validator", method: "GET", answer: "200 OK\r\nAccept-Ranges: bytes" + sized},
		{name: "no ranges", method: "GET", answer: "200 OK\r\nETag: \"a\"" + sized},
		{name: "unknown length", method: "GET",
			answer: "200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"},
		{name: "unknown total", method: "GET", answer: "206 Part\r\nETag: \"a\"\r\nContent-Range: bytes 10-18/*" + sized},
		{name: "not a download", method: "POST", answer: "200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes" + sized},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startRaw(t, answer("HTTP/1.1 "+tc.answer, false))
			c := NewClient()
			defer c.Close()
			got := c.Dispatch(context.Background(), s.address, mustRequest(t, tc.method, "/x"), &memory{})
			if got.Outcome() != Unknown || !errors.Is(got.Err(), ErrIncomplete) {
				t.Fatalf("Dispatch = %v, %v; want %v, %v", got.Outcome(), got.Err(), Unknown, ErrIncomplete)
			}
			described := ""
			if p, ok := got.Partial(); ok {
				described = fmt.Sprintf("%s from %d, %d missing", p.ETag(), p.Next(), p.Missing())
			}
			if described != tc.want {
				t.Errorf("partial %q, want %q", described, tc.want)
			}
		})
	}
}

// Guards against a caller that receives a mixture of two contents.
func TestResume(t *testing.T) {
	const head = "HTTP/1.1 206 Partial Content\r\nETag: \"a\"\r\n"
	cases := []struct {
		name    string
		answer  string
		want    Outcome
		wantErr error
		body    string
		missing int64
	}{
		{name: "continues", answer: head + "Content-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nefghi", want: Ran, body: "abcdefghi"},
		{name: "breaks again", answer: head + "Content-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nef", want: Unknown, wantErr: ErrIncomplete,
			body: "abcdef", missing: 3},
		{name: "chunks end early", answer: head + "Content-Range: bytes 4-8/9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nef\r\n0\r\n\r\n",
			want: Unknown, wantErr: ErrIncomplete, body: "abcdef", missing: 3},
		{name: "whole content instead", answer: "HTTP/1.1 200 OK\r\nETag: \"b\"\r\nContent-Length: 2\r\n\r\nxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other validator", answer: "HTTP/1.1 206 Partial Content\r\nETag: \"b\"\r\nContent-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nxxxxx",
			want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "no validator", answer: "HTTP/1.1 206 Partial Content\r\nContent-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nxxxxx",
			want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other range", answer: head + "Content-Range: bytes 3-8/9\r\nContent-Length: 6\r\n\r\nxxxxxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other total", answer: head + "Content-Range: bytes 4-8/10\r\nContent-Length: 5\r\n\r\nxxxxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other length", answer: head + "Content-Range: bytes 4-8/9\r\nContent-Length: 6\r\n\r\nxxxxxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "range refused", answer: "HTTP/1.1 416 No\r\nContent-Length: 0\r\n\r\n", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "target fails", answer: "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", want: Unknown, wantErr: ErrIncomplete, missing: 5},
		{name: "target sheds", answer: "HTTP/1.1 503 No\r\nRhubarbrack-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
			want: Shed, wantErr: ErrShed, missing: 5},
		{name: "target is lost", answer: "", want: Crashed, wantErr: ErrLost, missing: 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			first := startRaw(t, answer("HTTP/1.1 200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes\r\nContent-Length: 9\r\n\r\nabcd", false))
			second := startRaw(t, answer(tc.answer, false))
			c := NewClient()
			defer c.Close()
			sink := &memory{}
			r := mustRequest(t, "GET", "/x", WithHost("files"), WithHeader(http.Header{"If-None-Match": {`"z"`}, "Authorization": {"Bearer secret"}}))
			broken, ok := c.Dispatch(context.Background(), first.address, r, sink).Partial()
			if !ok {
				t.Fatal("the first download cannot be resumed")
			}
			got := c.Resume(context.Background(), second.address, r, broken, sink)
			if got.Outcome() != tc.want || !errors.Is(got.Err(), tc.wantErr) {
				t.Errorf("Resume = %v, %v; want %v, %v", got.Outcome(), got.Err(), tc.want, tc.wantErr)
			}
			if body := sink.String(); body != or(tc.body, "abcd") {
				t.Errorf("caller received %q, want %q", body, or(tc.body, "abcd"))
			}
			if p, ok := got.Partial(); ok != (tc.missing > 0) || ok && p.Missing() != tc.missing {
				t.Errorf("partial %+v, %v; want %d missing bytes", p, ok, tc.missing)
			}
			want := "GET /x HTTP/1.1\r\nHost: files\r\nIf-Range: \"a\"\r\nRange: bytes=4-8\r\n\r\n"
			if head := <-second.heads; head != want {
				t.Errorf("second target received %q, want %q", head, want)
			}
		})
	}
}

func or(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// Guards against a partial that is lost when the next target cannot be
// reached: a third one could continue.
func TestResumeKeepsPartial(t *testing.T) {
	first := startRaw(t, func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes\r\nContent-Length: 9\r\n\r\nabcd")
		return false
	})
	c := NewClient()
	defer c.Close()
	r := mustRequest(t, "GET", "/x")
	broken, _ := c.Dispatch(context.Background(), first.address, r, &memory{}).Partial()
	got := c.Resume(context.Background(), closedAddress(t), r, broken, io.Discard)
	if p, ok := got.Partial(); got.Outcome() != NotRun || !ok || p != broken {
		t.Errorf("Resume = %v with partial %+v, want %v with %+v", got.Outcome(), p, NotRun, broken)
	}
}
