package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Operator calls the control machines as the platform's operator does: it moves on
// to the next one after a failure, a 5xx or a second without an answer.
type Operator struct {
	record  *Record
	client  *http.Client
	control []*Machine
}

// NewOperator returns an operator that knows the given control machines.
func NewOperator(record *Record, control ...*Machine) *Operator {
	return &Operator{record: record, control: control, client: &http.Client{
		Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// SetControl replaces the control machines that the operator knows.
func (o *Operator) SetControl(control ...*Machine) { o.control = control }

// Put sends a configuration again and again until one machine acknowledges it, for
// at most the given time.
func (o *Operator) Put(ctx context.Context, d time.Duration, config Config) bool {
	body, version := config.Encode(), config.Version
	o.record.Printf("operator sends configuration %08x", version)
	tries := map[string]int{}
	ok := Until(ctx, d, func() bool {
		for _, m := range o.control {
			r, err := o.client.Post("http://"+m.ControlAddress()+"/v1/Config.Put", "application/json", bytes.NewReader(body))
			if err != nil {
				tries["no answer"]++
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				o.record.Printf("configuration %08x is acknowledged by %s", version, m.Name)
				return true
			}
			tries[strconv.Itoa(r.StatusCode)]++
		}
		return false
	})
	if !ok {
		o.record.Printf("configuration %08x has no acknowledgement after %v; answers: %v", version, d, tries)
	}
	return ok
}

// Get reads the configuration from one machine. It returns false if there is no
// answer with status 200.
func (o *Operator) Get(m *Machine) (uint64, string, bool) {
	r, err := o.client.Get("http://" + m.ControlAddress() + "/v1/Config.Get")
	if err != nil {
		return 0, "no answer", false
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != http.StatusOK {
		return 0, fmt.Sprintf("status %d", r.StatusCode), false
	}
	var body struct{ Version string }
	if err := json.Unmarshal(data, &body); err != nil {
		return 0, "unreadable", false
	}
	version, err := strconv.ParseUint(body.Version, 16, 32)
	return version, "version " + body.Version, err == nil
}

// ReadBack reads the configuration from all machines again and again for the given
// time. It returns the newest version that one of them answers, or 0.
func (o *Operator) ReadBack(ctx context.Context, d time.Duration) uint64 {
	newest, answers := uint64(0), map[string]int{}
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, m := range o.control {
			version, text, ok := o.Get(m)
			answers[m.Name+": "+text]++
			if ok {
				newest = max(newest, version)
			}
		}
		Sleep(ctx, 300*time.Millisecond)
	}
	o.record.Printf("read back for %v: newest version %08x; answers %v", d, newest, answers)
	return newest
}

// Route is a route of a configuration.
type Route struct {
	Name, Kind, Prefix, Service string
	TimeoutMs, Attempts         int
}

// Config is a configuration for the host name "shop.example" without tenants.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []string
}

// Encode returns the body of Config.Put.
func (c Config) Encode() []byte {
	var policy, clusters []map[string]any
	for _, r := range c.Routes {
		policy = append(policy, map[string]any{
			"Name": r.Name, "Kind": r.Kind, "TargetLatencyMs": 200, "Priority": 1, "Public": false, "Sticky": false,
			"Match":  map[string]any{"PathPrefix": r.Prefix},
			"Action": map[string]any{"Backend": r.Service, "TimeoutMs": r.TimeoutMs, "MaxAttempts": r.Attempts, "AllowedRegions": []string{}},
		})
	}
	for _, s := range c.Services {
		clusters = append(clusters, map[string]any{
			"Name": s, "HealthPath": "/health", "MaxConnections": 330, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 21.0,
		})
	}
	data, err := json.Marshal(map[string]any{
		"Version":   fmt.Sprintf("%08x", c.Version),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":   []any{},
		"Listeners": []any{map[string]any{"Hostname": "shop.example", "Policy": policy}},
		"Clusters":  clusters,
	})
	if err != nil {
		panic(err)
	}
	return data
}
