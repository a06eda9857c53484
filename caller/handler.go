package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/route"
)

// Recorder learns of the end of each request.
type Recorder interface {
	// Record receives a request, how it ended and how long it took. It must
	// not block.
	Record(request route.Request, result route.Result, began time.Time, latency time.Duration)
}

// Router takes requests to their end. A route.Router is one.
type Router interface {
	// Run runs one request.
	Run(ctx context.Context, q route.Request, x route.Exchange) route.Result
}

// Handler answers the HTTP requests of callers.
type Handler struct {
	prefix      string
	views       route.Views
	router      Router
	directories DirectorySource
	dispatcher  Dispatcher
	recorder    Recorder
	clock       clock.Clock
	slots       chan struct{}
	numbers     atomic.Uint64
	bodyBytes   int64
}

// defaultRequests bounds the requests under way at one entry host.
const defaultRequests = 4096

// defaultBodyBytes bounds the body of a request. It is kept in memory, so that
// a request can be sent to a second target.
const defaultBodyBytes = 64 << 20

// Option sets a part of a handler.
type Option func(*Handler)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(h *Handler) { h.clock = c } }

// WithMaxRequests bounds the requests under way. The default is 4,096.
func WithMaxRequests(n int) Option { return func(h *Handler) { h.slots = make(chan struct{}, n) } }

// WithMaxBodyBytes bounds the body of a request. A service may set less.
func WithMaxBodyBytes(n int64) Option { return func(h *Handler) { h.bodyBytes = n } }

// NewHandler returns a handler. The ids of requests start with the host and the
// incarnation of the process, so that they are unique and lead to the host
// that can explain them.
func NewHandler(host ident.Host, incarnation ident.Incarnation, views route.Views, router Router,
	directories DirectorySource, dispatcher Dispatcher, recorder Recorder, list ...Option,
) *Handler {
	h := &Handler{
		prefix: fmt.Sprintf("%s-%x", host, uint64(incarnation)), views: views, router: router,
		directories: directories, dispatcher: dispatcher, recorder: recorder, clock: clock.Wall(),
		slots: make(chan struct{}, defaultRequests), bodyBytes: defaultBodyBytes,
	}
	for _, apply := range list {
		apply(h)
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathLookup && r.Method == http.MethodGet {
		h.lookup(w, r)
		return
	}
	id := ident.RequestID(fmt.Sprintf("%s-%d", h.prefix, h.numbers.Add(1)))
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		refuse(w, id, route.Refuse(ReasonBusy, "", time.Second))
		return
	}
	h.run(w, r, id)
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request, id ident.RequestID) {
	began := h.clock.Now()
	request, err := h.parse(r, id, began)
	if err != nil {
		refuse(w, id, route.Refuse(ReasonBadTimeout, err.Error(), 0))
		return
	}
	x := &exchange{writer: w, request: r, dispatcher: h.dispatcher, id: id, most: h.bodyBytes}
	out := h.router.Run(r.Context(), request, x)
	h.recorder.Record(request, out, began, h.clock.Now().Sub(began))
	switch {
	case !out.Started():
		refuse(w, id, out)
	case out.Outcome() != route.Ran:
		// The caller must not take the part that it got for the whole.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) parse(r *http.Request, id ident.RequestID, now time.Time) (route.Request, error) {
	list := []route.RequestOption{
		route.WithKey(bearerKey(r.Header)),
		route.WithQuery(r.URL.RawQuery),
		route.WithIdempotencyKey(ident.RequestID(r.Header.Get(HeaderIdempotencyKey))),
	}
	limit, err := timeout(r.Header)
	if err != nil {
		return route.Request{}, fmt.Errorf("parse request: %w", err)
	}
	if limit > 0 {
		list = append(list, route.WithDeadline(now.Add(limit)))
	}
	if remote, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		if zone, ok := h.directories.Directory().Zone(remote.Addr()); ok {
			list = append(list, route.WithZone(zone))
		}
	}
	return route.NewRequest(id, r.Host, r.Method, r.URL.Path, list...), nil
}
