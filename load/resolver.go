package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// ErrLookup means that the lookup of the hosts of a service failed.
const ErrLookup = errors.ConstError("lookup failed")

const (
	// PathLookup is the path at which entry hosts serve lookups.
	PathLookup = "/.rhubarbrack/lookup"

	lookupTimeout  = 2 * time.Second
	maxLookupBytes = 1 << 20
	// lookupRetryInterval prevents every request from triggering another
	// lookup after a failed one.
	lookupRetryInterval = 200 * time.Millisecond
	// maxLookupTTL bounds the time for which a response is cached.
	maxLookupTTL = time.Hour
)

// lookupRecord is the JSON form of a lookup response.
type lookupRecord struct {
	Hosts []hostRecord `json:"hosts"`
	TTL   float64      `json:"ttl-seconds"`
}

type hostRecord struct {
	Host    string  `json:"host"`
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// The messages of a resolver.
type (
	// resolveRequest asks for the address of a host of the service. A host in
	// avoid is returned only if there is no other.
	resolveRequest struct {
		service ident.Service
		avoid   []string
		reply   tasks.Reply[resolvedHost]
	}
	// lookupDone is the result of a lookup.
	lookupDone struct {
		service ident.Service
		record  lookupRecord
		err     error
	}
)

// resolvedHost is the reply to a resolveRequest.
type resolvedHost struct {
	address string
	err     error
}

// cacheEntry holds the hosts of one service.
type cacheEntry struct {
	hosts         []hostRecord
	expires       time.Time
	lookupRunning bool
	waiters       []resolveRequest
	err           error
}

// resolver is the task that looks up hosts and caches the responses. A response
// that cannot be renewed stays in use after it has expired.
type resolver struct {
	ctx     context.Context
	clock   clock.Clock
	http    http.RoundTripper
	entry   string
	client  netip.Addr
	random  *rand.Rand
	ref     *tasks.Ref
	cache   map[ident.Service]*cacheEntry
	lookups int
	failed  int
}

var _ tasks.Task = (*resolver)(nil)

// Handle implements tasks.Task.
func (r *resolver) Handle(message any) {
	switch m := message.(type) {
	case resolveRequest:
		r.resolve(m)
	case lookupDone:
		r.lookupEnded(m)
	case tasks.Reply[lookupCounts]:
		m.Send(lookupCounts{lookups: r.lookups, failed: r.failed})
	}
}

// lookupCounts holds the number of lookups and of those that failed.
type lookupCounts struct{ lookups, failed int }

func (r *resolver) resolve(request resolveRequest) {
	entry, ok := r.cache[request.service]
	if !ok {
		entry = &cacheEntry{}
		r.cache[request.service] = entry
	}
	if !entry.lookupRunning && !r.clock.Now().Before(entry.expires) {
		r.startLookup(request.service, entry)
	}
	if len(entry.hosts) == 0 && entry.lookupRunning {
		entry.waiters = append(entry.waiters, request)
		return
	}
	request.reply.Send(r.chooseHost(entry, request.avoid))
}

// chooseHost draws a host at random by weight. A host of weight 0 is a
// fallback, used when no other is allowed. When all hosts are to be avoided,
// it draws among all of them.
func (r *resolver) chooseHost(entry *cacheEntry, avoid []string) resolvedHost {
	if len(entry.hosts) == 0 {
		return resolvedHost{err: entry.err}
	}
	sum, last := 0.0, -1
	allowed := make([]bool, len(entry.hosts))
	for i, h := range entry.hosts {
		allowed[i] = !slices.Contains(avoid, h.Address)
		if allowed[i] {
			sum += h.Weight
			if h.Weight > 0 || sum == 0 {
				last = i
			}
		}
	}
	if last < 0 {
		return r.chooseHost(entry, nil)
	}
	point := r.random.Float64() * sum
	for i, h := range entry.hosts {
		if !allowed[i] {
			continue
		}
		if point -= h.Weight; point < 0 {
			return resolvedHost{address: h.Address}
		}
	}
	return resolvedHost{address: entry.hosts[last].Address}
}

// startLookup queries the configured entry host and, while no response
// arrives, the known hosts one after the other.
func (r *resolver) startLookup(service ident.Service, entry *cacheEntry) {
	entry.lookupRunning = true
	r.lookups++
	addresses := []string{r.entry}
	for _, h := range entry.hosts {
		if h.Address != r.entry {
			addresses = append(addresses, h.Address)
		}
	}
	tasks.Go(r.ctx, func(ctx context.Context) {
		m := lookupDone{service: service}
		for _, address := range addresses {
			if m.record, m.err = r.lookup(ctx, address, service); m.err == nil {
				break
			}
		}
		r.ref.Tell(m)
	})
}

func (r *resolver) lookupEnded(m lookupDone) {
	entry := r.cache[m.service]
	entry.lookupRunning, entry.err = false, m.err
	if m.err == nil {
		entry.hosts = m.record.Hosts
		ttl := min(m.record.TTL, maxLookupTTL.Seconds())
		entry.expires = r.clock.Now().Add(time.Duration(ttl * float64(time.Second)))
	} else {
		r.failed++
		entry.expires = r.clock.Now().Add(lookupRetryInterval)
	}
	for _, waiter := range entry.waiters {
		waiter.reply.Send(r.chooseHost(entry, waiter.avoid))
	}
	entry.waiters = nil
}

// lookup queries one host. It runs outside of the task and only reads fields
// that do not change.
func (r *resolver) lookup(ctx context.Context, address string, service ident.Service) (lookupRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {string(service)}, "client": {r.client.String()}}
	target := url.URL{Scheme: "http", Host: address, Path: PathLookup, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return lookupRecord{}, fmt.Errorf("build lookup: %w", err)
	}
	response, err := r.http.RoundTrip(request)
	if err != nil {
		return lookupRecord{}, fmt.Errorf("%w: %w", ErrLookup, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLookupBytes))
	if err != nil {
		return lookupRecord{}, fmt.Errorf("%w: read: %w", ErrLookup, err)
	}
	if response.StatusCode != http.StatusOK {
		return lookupRecord{}, fmt.Errorf("%w: status %d", ErrLookup, response.StatusCode)
	}
	return decodeLookup(body)
}

func decodeLookup(body []byte) (lookupRecord, error) {
	var r lookupRecord
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrLookup, err)
	}
	if len(r.Hosts) == 0 || !(r.TTL > 0) {
		return r, fmt.Errorf("%w: %d hosts for %v s", ErrLookup, len(r.Hosts), r.TTL)
	}
	for _, h := range r.Hosts {
		if _, err := netip.ParseAddrPort(h.Address); err != nil || !(h.Weight >= 0) {
			return r, fmt.Errorf("%w: host %q with address %q and weight %v", ErrLookup, h.Host, h.Address, h.Weight)
		}
	}
	return r, nil
}
