package load

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"rhubarbrack/ident"
)

// maxPlanBytes bounds a plan file.
const maxPlanBytes = 1 << 20

// planRecord is the YAML form of a Plan.
type planRecord struct {
	Entry       string         `yaml:"entry"`
	Client      string         `yaml:"client"`
	Duration    time.Duration  `yaml:"duration"`
	Timeout     time.Duration  `yaml:"timeout"`
	DoubleEvery time.Duration  `yaml:"double-every"`
	MostFactor  float64        `yaml:"most-factor"`
	Seed        uint64         `yaml:"seed"`
	InFlight    int            `yaml:"in-flight"`
	Resends     *int           `yaml:"resends"`
	Pause       time.Duration  `yaml:"resend-pause"`
	Tolerance   *time.Duration `yaml:"tolerance"`
	Teams       []teamRecord   `yaml:"teams"`
	Direct      *directRecord  `yaml:"direct"`
}

type teamRecord struct {
	Name    string        `yaml:"name"`
	Key     string        `yaml:"key"`
	Rate    float64       `yaml:"rate"`
	Burst   float64       `yaml:"burst"`
	Offered float64       `yaml:"offered"`
	Mix     []routeRecord `yaml:"mix"`
}

type routeRecord struct {
	Service        string  `yaml:"service"`
	Host           string  `yaml:"host"`
	Method         string  `yaml:"method"`
	Path           string  `yaml:"path"`
	Class          string  `yaml:"class"`
	Weight         float64 `yaml:"weight"`
	BodyBytes      int     `yaml:"body-bytes"`
	IdempotencyKey bool    `yaml:"idempotency-key"`
}

type directRecord struct {
	Addresses []string    `yaml:"addresses"`
	Rate      float64     `yaml:"rate"`
	Route     routeRecord `yaml:"route"`
}

// ReadPlan reads a plan in YAML. Unknown fields are errors. Absent fields keep
// their defaults. The options are applied after the fields. An example:
//
//	entry: 127.0.0.1:8080
//	client: 203.0.113.7
//	duration: 30s
//	timeout: 2s
//	double-every: 10s
//	most-factor: 4
//	seed: 1
//	resends: 3
//	resend-pause: 100ms
//	tolerance: 10ms
//	teams:
//	  - name: atelier
//	    key: atelier-1.secret
//	    rate: 100
//	    burst: 20
//	    offered: 80
//	    mix:
//	      - {service: catalogue, path: /items, class: normal, weight: 9}
//	      - {service: deposits, host: deposits.example, method: POST, path: /deposits, body-bytes: 200, idempotency-key: true}
//	direct:
//	  addresses: ["127.0.0.1:9001"]
//	  rate: 20
//	  route: {service: catalogue, path: /items}
func ReadPlan(r io.Reader, options ...PlanOption) (Plan, error) {
	var record planRecord
	decoder := yaml.NewDecoder(io.LimitReader(r, maxPlanBytes), yaml.Strict())
	if err := decoder.Decode(&record); err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	converted, err := record.options()
	if err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	return NewPlan(record.Entry, append(converted, options...)...)
}

func (r planRecord) options() ([]PlanOption, error) {
	var options []PlanOption
	if r.Client != "" {
		client, err := netip.ParseAddr(r.Client)
		if err != nil {
			return nil, fmt.Errorf("client: %w", err)
		}
		options = append(options, WithClient(client))
	}
	options = append(options, func(p *Plan) {
		p.duration, p.timeout = valueOr(r.Duration, p.duration), valueOr(r.Timeout, p.timeout)
		p.doublingInterval, p.maxFactor = r.DoubleEvery, valueOr(r.MostFactor, p.maxFactor)
		p.seed, p.inFlight, p.resendPause = valueOr(r.Seed, p.seed), valueOr(r.InFlight, p.inFlight), valueOr(r.Pause, p.resendPause)
		if r.Resends != nil {
			p.resends = *r.Resends
		}
		if r.Tolerance != nil {
			p.tolerance = *r.Tolerance
		}
	})
	for _, t := range r.Teams {
		options = append(options, WithTeams(t.team()))
	}
	if r.Direct != nil {
		options = append(options, WithDirectCalls(r.Direct.Rate, r.Direct.Route.route(), r.Direct.Addresses...))
	}
	return options, nil
}

// valueOr returns the value, or the fallback if the value is zero.
func valueOr[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (t teamRecord) team() Team {
	routes := make([]Route, 0, len(t.Mix))
	for _, r := range t.Mix {
		routes = append(routes, r.route())
	}
	return NewTeam(ident.Team(t.Name), t.Key, t.Rate, t.Burst, t.Offered, routes...)
}

func (r routeRecord) route() Route {
	options := []RouteOption{
		WithHost(valueOr(r.Host, r.Service)), WithClass(ident.Class(valueOr(r.Class, "default"))),
		WithWeight(valueOr(r.Weight, 1)), WithBodyBytes(r.BodyBytes),
	}
	if r.IdempotencyKey {
		options = append(options, WithIdempotencyKey())
	}
	return NewRoute(ident.Service(r.Service), valueOr(r.Method, "GET"), r.Path, options...)
}
