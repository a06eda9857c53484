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

// ErrLookup means that no entry host answered a look-up.
const ErrLookup = errors.ConstError("look-up failed")

const (
	// PathLookup is the path at which entry hosts answer look-ups.
	PathLookup = "/.rhubarbrack/lookup"

	lookupTimeout = 2 * time.Second
	lookupBytes   = 1 << 20
	// retryLookup keeps a failed look-up from being repeated by each
	// request.
	retryLookup = 200 * time.Millisecond
	// maxLookupTTL bounds the time for which an answer is used.
	maxLookupTTL = time.Hour
)

// lookupRecord is the JSON form of an answer.
type lookupRecord struct {
	Hosts []hostRecord `json:"hosts"`
	TTL   float64      `json:"ttl-seconds"`
}

type hostRecord struct {
	Host    string  `json:"host"`
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// The messages of a finder.
type (
	// pick asks for the address of a host that is not among the avoided
	// ones, if there is another.
	pick struct {
		service ident.Service
		avoid   []string
		reply   tasks.Reply[picked]
	}
	// found is the end of a look-up.
	found struct {
		service ident.Service
		record  lookupRecord
		err     error
	}
)

type picked struct {
	address string
	err     error
}

// answer is what is known about one service.
type answer struct {
	hosts   []hostRecord
	until   time.Time
	asking  bool
	waiting []pick
	err     error
}

// finder is the task that looks up hosts and caches the answers. An answer
// that cannot be renewed is used further.
type finder struct {
	ctx     context.Context
	clock   clock.Clock
	http    http.RoundTripper
	entry   string
	client  netip.Addr
	random  *rand.Rand
	ref     *tasks.Ref
	answers map[ident.Service]*answer
	lookups int
	failed  int
}

var _ tasks.Task = (*finder)(nil)

// Handle implements tasks.Task.
func (f *finder) Handle(message any) {
	switch m := message.(type) {
	case pick:
		f.pick(m)
	case found:
		f.found(m)
	case tasks.Reply[lookupFigures]:
		m.Send(lookupFigures{lookups: f.lookups, failed: f.failed})
	}
}

// lookupFigures counts look-ups.
type lookupFigures struct{ lookups, failed int }

func (f *finder) pick(p pick) {
	a, ok := f.answers[p.service]
	if !ok {
		a = &answer{}
		f.answers[p.service] = a
	}
	if !a.asking && !f.clock.Now().Before(a.until) {
		f.ask(p.service, a)
	}
	if len(a.hosts) == 0 && a.asking {
		a.waiting = append(a.waiting, p)
		return
	}
	p.reply.Send(f.choose(a, p.avoid))
}

// choose draws a host by weight. A host of weight 0 is a fallback, used when no
// other is allowed. When all are to be avoided, it draws among all.
func (f *finder) choose(a *answer, avoid []string) picked {
	if len(a.hosts) == 0 {
		return picked{err: a.err}
	}
	sum, last := 0.0, -1
	allowed := make([]bool, len(a.hosts))
	for i, h := range a.hosts {
		allowed[i] = !slices.Contains(avoid, h.Address)
		if allowed[i] {
			sum += h.Weight
			if h.Weight > 0 || sum == 0 {
				last = i
			}
		}
	}
	if last < 0 {
		return f.choose(a, nil)
	}
	at := f.random.Float64() * sum
	for i, h := range a.hosts {
		if !allowed[i] {
			continue
		}
		if at -= h.Weight; at < 0 {
			return picked{address: h.Address}
		}
	}
	return picked{address: a.hosts[last].Address}
}

// ask begins a look-up at the entry host, and at the known hosts when that
// does not answer.
func (f *finder) ask(service ident.Service, a *answer) {
	a.asking = true
	f.lookups++
	places := []string{f.entry}
	for _, h := range a.hosts {
		if h.Address != f.entry {
			places = append(places, h.Address)
		}
	}
	tasks.Go(f.ctx, func(ctx context.Context) {
		m := found{service: service}
		for _, place := range places {
			if m.record, m.err = f.lookup(ctx, place, service); m.err == nil {
				break
			}
		}
		f.ref.Tell(m)
	})
}

func (f *finder) found(m found) {
	a := f.answers[m.service]
	a.asking, a.err = false, m.err
	if m.err == nil {
		a.hosts = m.record.Hosts
		ttl := min(m.record.TTL, maxLookupTTL.Seconds())
		a.until = f.clock.Now().Add(time.Duration(ttl * float64(time.Second)))
	} else {
		f.failed++
		a.until = f.clock.Now().Add(retryLookup)
	}
	for _, p := range a.waiting {
		p.reply.Send(f.choose(a, p.avoid))
	}
	a.waiting = nil
}

// lookup asks one host. It runs outside of the task.
func (f *finder) lookup(ctx context.Context, place string, service ident.Service) (lookupRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {string(service)}, "client": {f.client.String()}}
	target := url.URL{Scheme: "http", Host: place, Path: PathLookup, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return lookupRecord{}, fmt.Errorf("build look-up: %w", err)
	}
	response, err := f.http.RoundTrip(request)
	if err != nil {
		return lookupRecord{}, fmt.Errorf("%w: %w", ErrLookup, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, lookupBytes))
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
