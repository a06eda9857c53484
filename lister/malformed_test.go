package lister

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/intact"
	"rhubarbrack/script"
	"rhubarbrack/tasks"
)

// TestMalformedHeader guards against a list that is taken though the header of its
// response is malformed, so that its body may not be the platform's.
func TestMalformedHeader(t *testing.T) {
	for _, a := range script.Answers() {
		t.Run(a.Name(), func(t *testing.T) {
			address, err := script.Start(t.Context(), script.OnRequests(func(conn *net.TCPConn, _ *http.Request) bool {
				_, err := io.WriteString(conn, a.WithBody(`{"hosts":[`+targetJSON+`]}`))
				return err == nil
			}))
			if err != nil {
				t.Fatal(err)
			}
			system := tasks.NewSystem(slog.New(slog.DiscardHandler))
			defer system.Shutdown()
			received := make(listChannel, 1)
			l, err := StartLister(context.Background(), system, "http://"+address, received,
				WithInterval(time.Hour), WithTimeout(time.Hour), WithLogger(slog.New(slog.DiscardHandler)))
			if err != nil {
				t.Fatal(err)
			}
			got := <-received
			if errors.Is(got.Err(), intact.ErrMalformed) != a.IsMalformed() || (len(got.Targets()) > 0) == a.IsMalformed() {
				t.Errorf("%d targets, error %v, want malformed %v", len(got.Targets()), got.Err(), a.IsMalformed())
			}
			l.Stop()
			<-l.Done()
		})
	}
}
