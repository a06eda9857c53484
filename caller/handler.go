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

// Recorder records the result of each request.
type Recorder interface {
	// Record receives a request, its result, its start time and its latency.
	// It must not block.
	Record(request route.Request, result route.Result, began time.Time, latency time.Duration)
}

// Router handles requests. It is implemented by route.Router.
type Router interface {
	// Run handles one request.
	Run(ctx context.Context, q route.Request, x route.Exchange) route.Result
}

// Handler serves the HTTP requests of callers.
type Handler struct {
	idPrefix     string
	views        route.Views
	router       Router
	directories  DirectorySource
	dispatcher   Dispatcher
	recorder     Recorder
	clock        clock.Clock
	inFlight     chan struct{}
	lastNumber   atomic.Uint64
	maxBodyBytes int64
}

// defaultMaxRequests limits the requests in flight at one entry host.
const defaultMaxRequests = 4096

// defaultMaxBodyBytes limits the body of a request. The body is kept in
// memory, so that the request can be sent to a second target.
const defaultMaxBodyBytes = 64 << 20

// Option changes a default of NewHandler.
type Option func(*Handler)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(h *Handler) { h.clock = c } }

// WithMaxRequests limits the requests in flight. The default is 4,096.
func WithMaxRequests(n int) Option { return func(h *Handler) { h.inFlight = make(chan struct{}, n) } }

// WithMaxBodyBytes limits the body of a request. A service may set a lower
// limit.
func WithMaxBodyBytes(n int64) Option { return func(h *Handler) { h.maxBodyBytes = n } }

// NewHandler returns a handler. Request IDs start with the host and the
// incarnation of the process, so that they are unique and identify the host
// that can explain them.
func NewHandler(host ident.Host, incarnation ident.Incarnation, views route.Views, router Router,
	directories DirectorySource, dispatcher Dispatcher, recorder Recorder, list ...Option,
) *Handler {
	h := &Handler{
		idPrefix: fmt.Sprintf("%s-%x", host, uint64(incarnation)), views: views, router: router,
		directories: directories, dispatcher: dispatcher, recorder: recorder, clock: clock.Wall(),
		inFlight: make(chan struct{}, defaultMaxRequests), maxBodyBytes: defaultMaxBodyBytes,
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
	id := ident.RequestID(fmt.Sprintf("%s-%d", h.idPrefix, h.lastNumber.Add(1)))
	select {
	case h.inFlight <- struct{}{}:
		defer func() { <-h.inFlight }()
	default:
		refuse(w, id, route.Refuse(ReasonBusy, "", time.Second))
		return
	}
	h.run(w, r, id)
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request, id ident.RequestID) {
	began := h.clock.Now()
	request, err := h.parseRequest(r, id, began)
	if err != nil {
		refuse(w, id, route.Refuse(ReasonBadTimeout, err.Error(), 0))
		return
	}
	x := &exchange{writer: w, request: r, dispatcher: h.dispatcher, id: id, maxBodyBytes: h.maxBodyBytes}
	out := h.router.Run(r.Context(), request, x)
	h.recorder.Record(request, out, began, h.clock.Now().Sub(began))
	switch {
	case !out.Started():
		refuse(w, id, out)
	case out.Outcome() != route.Ran:
		// The caller must not mistake a partial response for the whole.
		panic(http.ErrAbortHandler)
	case x.complete != nil:
		x.complete()
	}
}

func (h *Handler) parseRequest(r *http.Request, id ident.RequestID, now time.Time) (route.Request, error) {
	list := []route.RequestOption{
		route.WithKey(bearerKey(r.Header)),
		route.WithQuery(r.URL.RawQuery),
		route.WithIdempotencyKey(ident.RequestID(r.Header.Get(HeaderIdempotencyKey))),
	}
	limit, err := parseTimeout(r.Header)
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
