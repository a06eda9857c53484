package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// hostname is the host name of the routes.
const hostname = "orders.example"

// key is the API key of the team.
const key = "s989anu6wsjnbanfqasn"

// configuration returns a configuration with two routes: /order/ of the kind
// non_idempotent and /read/ of the kind safe, both for one service.
func configuration(version int, service string) []byte {
	route := func(name, kind, prefix string) map[string]any {
		return map[string]any{
			"Name": name, "Kind": kind, "TargetLatencyMs": 250, "Priority": 1, "Public": false, "Sticky": false,
			"Match":  map[string]any{"PathPrefix": prefix},
			"Action": map[string]any{"Backend": service, "TimeoutMs": 1500, "MaxAttempts": 2, "AllowedRegions": []string{}},
		}
	}
	body := map[string]any{
		"Version": fmt.Sprintf("%08x", version),
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{
			"Name": "cuka620", "ApiKeys": []string{key}, "Priority": 1, "RatePerS": 5000, "Burst": 5000, "AllowedRegions": []string{},
		}},
		"Listeners": []any{map[string]any{"Hostname": hostname, "Policy": []any{
			route("r-order", "non_idempotent", "/order/"), route("r-read", "safe", "/read/"),
		}}},
		"Clusters": []any{map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
			"ColdStartS": coldDuration.Seconds(), "ColdPerS": coldRate,
		}},
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// put sends a configuration to one control host after the other until one
// acknowledges it.
func (f *fleet) put(ctx context.Context, body []byte) error {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		h := f.controls[i%len(f.controls)]
		r, err := client.Post("http://"+f.network.at(h.address, portControl)+"/v1/Config.Put", "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				f.record.add("configuration acknowledged by %s", h.name)
				return nil
			}
			if r.StatusCode < 500 {
				return fmt.Errorf("configuration refused: %d %s", r.StatusCode, text)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %w", ctx.Err())
}

// awaitReady waits until all entry hosts are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range f.entries {
		for {
			if ctx.Err() != nil {
				return errNotReady
			}
			r, err := client.Get("http://" + f.network.at(h.address, portReady) + "/v1/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
