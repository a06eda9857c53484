// Command stale plays the case in which all control machines are replaced, the new
// ones first, while one front machine stands still.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"stand2/fleet"
)

func main() { os.Exit(fleet.Play(2, 6, play)) }

const (
	// freezeTime is how long the front machine stands still.
	freezeTime = 7400 * time.Millisecond
	// judgedTime is how long requests are judged.
	judgedTime = 30 * time.Second
)

func play(ctx context.Context, f *fleet.Fleet, trouble string) (int, error) {
	record, runs := f.Record, fleet.NewRuns()
	var servers []*fleet.Server
	for i, service := range []string{"svc-old", "svc-old", "svc-new", "svc-new"} {
		s, err := fleet.StartServer(f, runs, fmt.Sprintf("i-%d", i), service, "zone-a", 20*time.Millisecond)
		if err != nil {
			return fleet.Failed, err
		}
		servers = append(servers, s)
	}
	if err := fleet.StartPlatform(f, func() []*fleet.Server { return servers }); err != nil {
		return fleet.Failed, err
	}
	old := controlMachines(f, "core")
	fronts := []*fleet.Machine{f.Add("front-a", "zone-a", "entry"), f.Add("front-b", "zone-b", "entry")}
	f.SetSeeds(old[:3]...)
	if err := start(append(old, fronts...)); err != nil {
		return fleet.Failed, err
	}
	f.EndFirstStart()
	operator := fleet.NewOperator(record, old...)
	if !operator.Put(ctx, 20*time.Second, config(1, "svc-old")) {
		return fleet.Failed, fmt.Errorf("the first configuration is not acknowledged")
	}
	if !fleet.Until(ctx, 20*time.Second, func() bool { return isReady(f, fronts[0]) && isReady(f, fronts[1]) }) {
		return fleet.Failed, fmt.Errorf("the front machines are not ready")
	}
	record.Printf("both front machines are ready")
	client := fleet.NewClient()
	for _, m := range fronts {
		a := client.Send(ctx, m.FrontAddress(), http.MethodGet, "/a/first", 1500*time.Millisecond)
		record.Printf("request %s at %s: status %d, run by %v", a.Request, m.Name, a.Status, servicesOf(runs, a.Request))
		if a.Status != http.StatusOK {
			return fleet.Failed, fmt.Errorf("%s does not serve", m.Name)
		}
	}
	fleet.Sleep(ctx, fleet.ContactTime)

	frozen := time.Now()
	if trouble != "0" {
		fronts[0].Signal(syscall.SIGSTOP)
	}
	fresh := controlMachines(f, "new-core")
	if err := start(fresh); err != nil {
		return fleet.Failed, err
	}
	operator.SetControl(append(fresh, old...)...)
	fleet.Sleep(ctx, fleet.CatchUpTime)
	for _, m := range fresh {
		if _, text, ok := operator.Get(m); !ok {
			return fleet.Failed, fmt.Errorf("%s is not ready after %v: %s", m.Name, fleet.CatchUpTime, text)
		}
	}
	record.Printf("the new control machines answer reads; the old ones are stopped in turn and leave")
	for _, m := range old {
		m.Stop()
	}
	operator.SetControl(fresh...)
	fleet.Sleep(ctx, time.Until(frozen.Add(freezeTime)))
	if trouble != "0" {
		fronts[0].Signal(syscall.SIGCONT)
	}
	f.SetSeeds(fresh[:3]...)
	for _, m := range fronts {
		if err := m.WriteSettings(); err != nil {
			return fleet.Failed, err
		}
		m.Signal(syscall.SIGHUP)
	}
	fleet.Sleep(ctx, 2*fleet.ContactTime)
	if !operator.Put(ctx, 20*time.Second, config(2, "svc-new")) {
		return fleet.Failed, fmt.Errorf("the second configuration is not acknowledged")
	}
	fleet.Sleep(ctx, fleet.ConfigApplyTime+100*time.Millisecond)
	return judge(ctx, record, client, runs, fronts)
}

// controlMachines adds five control machines, which bear the loss of two.
func controlMachines(f *fleet.Fleet, name string) []*fleet.Machine {
	var list []*fleet.Machine
	for i, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"} {
		list = append(list, f.Add(fmt.Sprintf("%s-%d", name, i+1), zone, "control"))
	}
	return list
}

func start(list []*fleet.Machine) error {
	for _, m := range list {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// judge sends requests to both front machines and counts those that the old
// service runs.
func judge(
	ctx context.Context, record *fleet.Record, client *fleet.Client, runs *fleet.Runs, fronts []*fleet.Machine,
) (int, error) {
	wrong := 0
	began := time.Now()
	byOld, byNew, other := map[string]int{}, map[string]int{}, map[string]int{}
	var last time.Duration
	for time.Since(began) < judgedTime && ctx.Err() == nil {
		for _, m := range fronts {
			a := client.Send(ctx, m.FrontAddress(), http.MethodGet, "/a/later", 1500*time.Millisecond)
			switch list := servicesOf(runs, a.Request); {
			case len(list) == 1 && list[0] == "svc-new":
				byNew[m.Name]++
			case len(list) > 0:
				if byOld[m.Name] < 3 {
					record.Printf("request %s at %s: status %d, run by %v", a.Request, m.Name, a.Status, list)
				}
				byOld[m.Name]++
				wrong++
				last = time.Since(began)
			default:
				other[fmt.Sprintf("%s: %d", m.Name, a.Status)]++
			}
		}
		fleet.Sleep(ctx, 200*time.Millisecond)
	}
	record.Printf("sent from %v after the acknowledgement on, for %v: run by the new service %v, by the old one %v, by none %v",
		fleet.ConfigApplyTime, judgedTime, byNew, byOld, other)
	if byNew[fronts[1].Name] == 0 {
		return fleet.Failed, fmt.Errorf("%s, which was never disrupted, does not serve the new version", fronts[1].Name)
	}
	if wrong > 0 {
		record.Printf("BROKEN: %d requests were run by the service that only the older version names, the last one %v after the first",
			wrong, last.Truncate(time.Second))
		return fleet.Broken, nil
	}
	record.Printf("HELD: no request was handled as only the older version allows")
	return fleet.Held, nil
}

func isReady(f *fleet.Fleet, m *fleet.Machine) bool {
	r, err := http.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.IP, f.Ports.Ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func servicesOf(runs *fleet.Runs, request string) []string {
	var list []string
	for _, run := range runs.Of(request) {
		list = append(list, run.Service)
	}
	return list
}

func config(version uint64, service string) fleet.Config {
	return fleet.Config{
		Version:  version,
		Routes:   []fleet.Route{{Name: "r-1", Kind: "safe", Prefix: "/a/", Service: service, TimeoutMs: 1500, Attempts: 2}},
		Services: []string{"svc-old", "svc-new"},
	}
}
