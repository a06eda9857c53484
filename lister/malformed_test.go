package lister

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/intact"
	"rhubarbrack/tasks"
)

// TestMalformedHeader guards against a list that is taken though the header of its
// response is malformed, so that its body may not be the platform's.
func TestMalformedHeader(t *testing.T) {
	cases := []struct {
		name, status, fields string
		want                 error
	}{
		{"sound", "200 OK", "A: b\r\n", nil},
		{"status 000", "000 OK", "", intact.ErrMalformed},
		{"blank before a colon", "200 OK", "A : b\r\n", intact.ErrMalformed},
		{"blank in a name", "200 OK", "Foo Bar: x\r\n", intact.ErrMalformed},
		{"control byte in a name", "200 OK", "Foo\x01: x\r\n", intact.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			body := `{"hosts":[` + targetJSON + `]}`
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", c.status, c.fields, len(body), body)
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
			system := tasks.NewSystem(slog.New(slog.DiscardHandler))
			defer system.Shutdown()
			received := make(listChannel, 1)
			l, err := StartLister(context.Background(), system, "http://"+listener.Addr().String(), received,
				WithInterval(time.Hour), WithTimeout(time.Hour), WithLogger(slog.New(slog.DiscardHandler)))
			if err != nil {
				t.Fatal(err)
			}
			if got := <-received; !errors.Is(got.Err(), c.want) || (len(got.Targets()) > 0) != (c.want == nil) {
				t.Errorf("%d targets, error %v, want %v", len(got.Targets()), got.Err(), c.want)
			}
			l.Stop()
			<-l.Done()
		})
	}
}
