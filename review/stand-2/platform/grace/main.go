// Command grace plays the case in which a front machine is stopped while its
// servers are at work, with a short time of grace.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"stand2/fleet"
)

// graceSeconds is GraceS of the settings.
const graceSeconds = 3

const (
	// workTime is how long a server works on a request.
	workTime = 2350 * time.Millisecond
	// deadline is how long clients wait, and the route's TimeoutMs.
	deadline = 8 * time.Second
	requests = 8
)

func main() { os.Exit(fleet.Play(1, graceSeconds, play)) }

func play(ctx context.Context, f *fleet.Fleet, trouble string) (int, error) {
	record, runs := f.Record, fleet.NewRuns()
	var servers []*fleet.Server
	for i := range 4 {
		s, err := fleet.StartServer(f, runs, fmt.Sprintf("i-%d", i), "orders", "zone-a", workTime)
		if err != nil {
			return fleet.Failed, err
		}
		servers = append(servers, s)
	}
	if err := fleet.StartPlatform(f, func() []*fleet.Server { return servers }); err != nil {
		return fleet.Failed, err
	}
	control := []*fleet.Machine{f.Add("core-a", "zone-a", "control"), f.Add("core-b", "zone-b", "control"), f.Add("core-c", "zone-c", "control")}
	fronts := []*fleet.Machine{f.Add("front-a", "zone-a", "entry"), f.Add("front-b", "zone-b", "entry")}
	f.SetSeeds(control...)
	for _, m := range append(control, fronts...) {
		if err := m.Start(); err != nil {
			return fleet.Failed, err
		}
	}
	operator := fleet.NewOperator(record, control...)
	if !operator.Put(ctx, 20*time.Second, config()) {
		return fleet.Failed, fmt.Errorf("the configuration is not acknowledged")
	}
	client := fleet.NewClient()
	if !fleet.Until(ctx, 20*time.Second, func() bool {
		return client.Send(ctx, fronts[0].FrontAddress(), http.MethodPost, "/orders/warm", deadline).Status == http.StatusOK
	}) {
		return fleet.Failed, fmt.Errorf("%s does not serve", fronts[0].Name)
	}
	fleet.Sleep(ctx, 2*fleet.ContactTime)

	var all sync.WaitGroup
	answers := make([]fleet.Answer, requests)
	for i := range answers {
		all.Go(func() {
			answers[i] = client.Send(ctx, fronts[0].FrontAddress(), http.MethodPost, "/orders/new", deadline)
		})
	}
	fleet.Sleep(ctx, 50*time.Millisecond)
	stoppedAt := time.Now()
	if trouble != "0" {
		fronts[0].Signal(syscall.SIGTERM)
	}
	all.Wait()
	if trouble != "0" {
		select {
		case <-fronts[0].Exited():
		case <-time.After(time.Until(stoppedAt.Add(graceSeconds * time.Second))):
			fronts[0].Kill()
		}
	}
	fleet.Sleep(ctx, 500*time.Millisecond)
	return judge(record, runs, answers, stoppedAt), nil
}

// judge counts the requests that a server was running and that were broken off
// before the last sixth of the time of grace.
func judge(record *fleet.Record, runs *fleet.Runs, answers []fleet.Answer, stoppedAt time.Time) int {
	lastSixth := stoppedAt.Add(graceSeconds * time.Second * 5 / 6)
	lost := 0
	for _, a := range answers {
		list := runs.Of(a.Request)
		record.Printf("request %s: sent %v before SIGTERM, status %d, stamped %t, error %v, answered %v after SIGTERM",
			a.Request, stoppedAt.Sub(a.SentAt).Round(time.Millisecond), a.Status, a.Stamped, a.Err, a.At.Sub(stoppedAt).Round(time.Millisecond))
		for _, run := range list {
			record.Printf("  a server worked on it from %v to %v after SIGTERM, cut %t",
				run.At.Sub(stoppedAt).Round(time.Millisecond), run.EndedAt.Sub(stoppedAt).Round(time.Millisecond), run.Cut)
			if run.Cut && run.EndedAt.Before(lastSixth) && a.At.Before(a.SentAt.Add(deadline)) && !a.Stamped {
				lost++
			}
		}
	}
	if lost > 0 {
		record.Printf("BROKEN: %d of %d requests were broken off while their servers worked, before the last sixth of GraceS (%v)",
			lost, len(answers), lastSixth.Sub(stoppedAt))
		return fleet.Broken
	}
	record.Printf("HELD: no request was broken off")
	return fleet.Held
}

func config() fleet.Config {
	return fleet.Config{
		Version:  1,
		Routes:   []fleet.Route{{Name: "r-1", Kind: "non_idempotent", Prefix: "/orders/", Service: "orders", TimeoutMs: 8000, Attempts: 2}},
		Services: []string{"orders"},
	}
}
