package target

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// withAttemptLast moves the attempt ID of an answer behind all other fields.
func withAttemptLast(answer string) string {
	header, body, _ := strings.Cut(answer, "\r\n\r\n")
	lines := strings.Split(header, "\r\n")
	var kept, attempt []string
	for _, line := range lines {
		if strings.HasPrefix(line, HeaderAttempt) {
			attempt = append(attempt, line)
		} else {
			kept = append(kept, line)
		}
	}
	return strings.Join(append(kept, attempt...), "\r\n") + "\r\n\r\n" + body
}

// TestJoinedAnswer guards against the beginning of an earlier answer that comes once
// more and joins the header of the answer that is due: a request that ran is then
// reported as shed, or its answer gets the status of the other. Copies whose header is
// whole are the matter of TestCopiedAnswer.
func TestJoinedAnswer(t *testing.T) {
	cases := []struct {
		name    string
		refuses func(number int) bool
		echoes  bool
		// due changes the answer to the second request.
		due string
	}{
		{"refusal before an answer", firstRefused, true, "HTTP/1.1 200 OK"},
		{"refusal before a malformed answer", firstRefused, true, "HTTP/1.1 000 OK"},
		{"answer before a refusal", func(number int) bool { return number == 2 }, true, "HTTP/1.1 503 Busy"},
		{"answer before a refusal, not echoed", func(number int) bool { return number == 2 }, false, "HTTP/1.1 503 Busy"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for cut, isLast := 0, false; !isLast; cut++ {
				s := startCopyingServer(t, copyBehaviour{
					refuses: c.refuses, echoes: c.echoes, bodiless: true, copies: 1,
					edit: func(answer string) string {
						copied := withAttemptLast(answer)
						end := strings.Index(copied, "\r\n\r\n") + len("\r\n\r")
						// The length of attempt IDs varies.
						isLast = isLast || cut >= end
						return copied[:min(cut, end)]
					},
					due: func(answer string) string {
						_, rest, _ := strings.Cut(answer, "\r\n")
						return c.due + "\r\n" + rest
					},
				})
				client := NewClient(WithLogger(slog.New(slog.DiscardHandler)))
				for i := range 2 {
					path := fmt.Sprintf("/%d", i)
					got := client.Dispatch(context.Background(), s.listener.Addr().String(), mustRequest(t, "GET", path), &bufferConsumer{})
					if got.Outcome() == Shed && s.hasRun(path) || got.Outcome() == Ran && !s.hasRun(path) {
						t.Errorf("cut after %d bytes, request %d: %v, ran %v", cut, i+1, got.Outcome(), s.hasRun(path))
					}
				}
				client.Close()
				s.close()
			}
		})
	}
}
