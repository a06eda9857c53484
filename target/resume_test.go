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

// Guards against downloads that are resumed without a strong validator or
// without known positions.
func TestPartial(t *testing.T) {
	const sized = "\r\nContent-Length: 9\r\n\r\nabcd"
	cases := []struct{ name, method, response, want string }{
		{name: "strong", method: "GET", response: "200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes" + sized, want: `"a" from 4, 5 missing`},
		{name: "part of a range", method: "GET", response: "206 Part\r\nETag: \"a\"\r\nContent-Range: bytes 10-18/50" + sized,
			want: `"a" from 14, 5 missing`},
		{name: "weak", method: "GET", response: "200 OK\r\nETag: W/\"a\"\r\nAccept-Ranges: bytes" + sized},
		{name: "no validator", method: "GET", response: "200 OK\r\nAccept-Ranges: bytes" + sized},
		{name: "no ranges", method: "GET", response: "200 OK\r\nETag: \"a\"" + sized},
		{name: "unknown length", method: "GET",
			response: "200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"},
		{name: "unknown total", method: "GET", response: "206 Part\r\nETag: \"a\"\r\nContent-Range: bytes 10-18/*" + sized},
		{name: "not a download", method: "POST", response: "200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes" + sized},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startRawServer(t, respond("HTTP/1.1 "+tc.response, false))
			c := NewClient()
			defer c.Close()
			got := c.Dispatch(context.Background(), s.address, mustRequest(t, tc.method, "/x"), &bufferConsumer{})
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
		name     string
		response string
		want     Outcome
		wantErr  error
		body     string
		missing  int64
	}{
		{name: "continues", response: head + "Content-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nefghi", want: Ran, body: "abcdefghi"},
		{name: "interrupted again", response: head + "Content-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nef", want: Unknown, wantErr: ErrIncomplete,
			body: "abcdef", missing: 3},
		{name: "chunks end early", response: head + "Content-Range: bytes 4-8/9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nef\r\n0\r\n\r\n",
			want: Unknown, wantErr: ErrIncomplete, body: "abcdef", missing: 3},
		{name: "whole content instead", response: "HTTP/1.1 200 OK\r\nETag: \"b\"\r\nContent-Length: 2\r\n\r\nxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other validator", response: "HTTP/1.1 206 Partial Content\r\nETag: \"b\"\r\nContent-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nxxxxx",
			want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "no validator", response: "HTTP/1.1 206 Partial Content\r\nContent-Range: bytes 4-8/9\r\nContent-Length: 5\r\n\r\nxxxxx",
			want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other range", response: head + "Content-Range: bytes 3-8/9\r\nContent-Length: 6\r\n\r\nxxxxxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other total", response: head + "Content-Range: bytes 4-8/10\r\nContent-Length: 5\r\n\r\nxxxxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "other length", response: head + "Content-Range: bytes 4-8/9\r\nContent-Length: 6\r\n\r\nxxxxxx", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "range refused", response: "HTTP/1.1 416 No\r\nContent-Length: 0\r\n\r\n", want: Unknown, wantErr: ErrContentChanged, missing: 5},
		{name: "target fails", response: "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", want: Unknown, wantErr: ErrIncomplete, missing: 5},
		{name: "target sheds", response: "HTTP/1.1 503 No\r\nRhubarbrack-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
			want: Shed, wantErr: ErrShed, missing: 5},
		{name: "target is lost", response: "", want: Crashed, wantErr: ErrLost, missing: 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			first := startRawServer(t, respond("HTTP/1.1 200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes\r\nContent-Length: 9\r\n\r\nabcd", false))
			second := startRawServer(t, respond(tc.response, false))
			c := NewClient()
			defer c.Close()
			consumer := &bufferConsumer{}
			r := mustRequest(t, "GET", "/x", WithHost("files"), WithHeader(http.Header{"If-None-Match": {`"z"`}, "Authorization": {"Bearer secret"}}))
			interrupted, ok := c.Dispatch(context.Background(), first.address, r, consumer).Partial()
			if !ok {
				t.Fatal("the first download cannot be resumed")
			}
			got := c.Resume(context.Background(), second.address, r, interrupted, consumer)
			if got.Outcome() != tc.want || !errors.Is(got.Err(), tc.wantErr) {
				t.Errorf("Resume = %v, %v; want %v, %v", got.Outcome(), got.Err(), tc.want, tc.wantErr)
			}
			if body := consumer.String(); body != valueOr(tc.body, "abcd") {
				t.Errorf("caller received %q, want %q", body, valueOr(tc.body, "abcd"))
			}
			if p, ok := got.Partial(); ok != (tc.missing > 0) || ok && p.Missing() != tc.missing {
				t.Errorf("partial %+v, %v; want %d missing bytes", p, ok, tc.missing)
			}
			want := "GET /x HTTP/1.1\r\nHost: files\r\nIf-Range: \"a\"\r\nRange: bytes=4-8\r\nRhubarbrack-Attempt: " + c.attempts.at(2) + "\r\n\r\n"
			if head := <-second.heads; head != want {
				t.Errorf("second target received %q, want %q", head, want)
			}
		})
	}
}

func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// Guards against a partial download that is lost when the next target cannot
// be reached: a third one could resume it.
func TestResumeKeepsPartial(t *testing.T) {
	first := startRawServer(t, func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nETag: \"a\"\r\nAccept-Ranges: bytes\r\nContent-Length: 9\r\n\r\nabcd")
		return false
	})
	c := NewClient()
	defer c.Close()
	r := mustRequest(t, "GET", "/x")
	interrupted, _ := c.Dispatch(context.Background(), first.address, r, &bufferConsumer{}).Partial()
	got := c.Resume(context.Background(), closedAddress(t), r, interrupted, io.Discard)
	if p, ok := got.Partial(); got.Outcome() != NotRun || !ok || p != interrupted {
		t.Errorf("Resume = %v with partial %+v, want %v with %+v", got.Outcome(), p, NotRun, interrupted)
	}
}
