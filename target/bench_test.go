package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// responseForwarder is a response consumer that writes to a caller.
type responseForwarder struct{ http.ResponseWriter }

func (f responseForwarder) Start(status int, header http.Header) error {
	for name, values := range header {
		f.Header()[name] = values
	}
	f.WriteHeader(status)
	return nil
}

// BenchmarkPassThrough compares forwarding by Dispatch with forwarding by
// net/http alone. The throughput of Dispatch should be at least 0.6 of the
// other.
func BenchmarkPassThrough(b *testing.B) {
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 1024))
	}))
	defer back.Close()
	address := back.Listener.Addr().String()
	client := NewClient(WithIdleConns(256))
	defer client.Close()
	plain := &http.Transport{MaxIdleConnsPerHost: 256}
	defer plain.CloseIdleConnections()
	cases := []struct {
		name   string
		handle http.HandlerFunc
	}{
		{name: "plain", handle: func(w http.ResponseWriter, r *http.Request) { forwardPlain(w, r, plain, address) }},
		{name: "dispatch", handle: func(w http.ResponseWriter, r *http.Request) {
			if got := client.Dispatch(r.Context(), address, FromHTTP(r), responseForwarder{w}); got.Outcome() != Ran {
				b.Error(got.Err())
			}
		}},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			front := httptest.NewServer(tc.handle)
			defer front.Close()
			caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			defer caller.CloseIdleConnections()
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					response, err := caller.Get(front.URL + "/items")
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		})
	}
}

// forwardPlain is the baseline without the checks of Dispatch.
func forwardPlain(w http.ResponseWriter, r *http.Request, via http.RoundTripper, address string) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", address, ""
	if r.ContentLength == 0 {
		out.Body = nil
	}
	response, err := via.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
