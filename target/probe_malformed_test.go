package target

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/intact"
	"rhubarbrack/script"
)

// TestMalformedReport guards against a report that counts although its header is
// malformed.
func TestMalformedReport(t *testing.T) {
	sound := script.Answers()[0]
	for _, a := range script.Answers() {
		for _, isLoad := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, of the load %v", a.Name(), isLoad), func(t *testing.T) {
				health := a
				if isLoad {
					health = sound
				}
				address, err := script.Start(t.Context(), script.OnRequests(func(c *net.TCPConn, r *http.Request) bool {
					text := health.WithBody(`{"state":"ready"}`)
					if r.URL.Path == PathLoad {
						text = a.WithBody(`{"slots":4,"busy":0,"queued":0}`)
					}
					_, err := io.WriteString(c, text)
					return err == nil
				}))
				if err != nil {
					t.Fatal(err)
				}
				listener := make(reportChannel, 1)
				p := startProber(t, clock.NewManual(time.Unix(1000, 0)), listener)
				p.SetEndpoints([]Endpoint{NewEndpoint("target-1", address)})
				got := <-listener
				_, hasHealth := got.Health()
				_, _, _, hasLoad := got.Load()
				if errors.Is(got.Err(), intact.ErrMalformed) != a.IsMalformed() || hasHealth == health.IsMalformed() || hasLoad == a.IsMalformed() {
					t.Errorf("health %v, load %v, error %v, want malformed %v", hasHealth, hasLoad, got.Err(), a.IsMalformed())
				}
			})
		}
	}
}
