package node_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"
)

const (
	trialControls = 3
	trialEntries  = 8
	// trialTargetsPerService is the number of listed targets of a service in each
	// region.
	trialTargetsPerService = 4
	// trialRoles is the number of roles: slots of three regions and four rate
	// shards.
	trialRoles = 7
	// trialShares is the number of pairs of a service and an origin region.
	trialShares = 12
	// trialServiceTime is the median service time of a target.
	trialServiceTime = 100 * time.Millisecond
	trialSpread      = 0.3
)

var (
	trialRegions  = []ident.Region{"north", "south", "west"}
	trialServices = []ident.Service{"catalogue", "deposits", "schedules", "patterns"}
)

// trialFleet is a fleet of realistic size with a target for direct calls per
// service.
type trialFleet struct {
	*fleet
	direct  []string
	regions map[ident.Target]ident.Region
}

func newTrialFleet(t *testing.T) *trialFleet {
	t.Helper()
	f := &trialFleet{
		fleet: &fleet{
			t: t, directory: t.TempDir(), keys: make(map[ident.Team]string),
			system:    tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil))),
			documents: make(map[string]codec.SourceDocument),
		},
		regions: make(map[ident.Target]ident.Region),
	}
	t.Cleanup(f.stopAll)
	data, err := os.ReadFile("../sample/trial.yaml")
	f.must(err)
	documents, err := codec.DecodeDocuments(data)
	f.must(err)
	f.startStandIns()
	for i := range trialControls {
		f.controls = append(f.controls, &process{name: fmt.Sprintf("control-%d", i+1), addresses: f.freeAddresses("peers", "operators")})
	}
	for _, p := range f.controls {
		f.startControl(p)
	}
	for i := range trialEntries {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), addresses: f.freeAddresses("callers", "peers", "operators")}
		f.entries = append(f.entries, p)
		f.startTrialEntry(p, i)
	}
	f.putAll(documents, trialRoles, trialShares)
	return f
}

// startStandIns starts the listed targets, with 3 to 6 slots each, and for each
// service one unlisted target that receives the direct calls.
func (f *trialFleet) startStandIns() {
	var list []lister.Target
	for _, region := range trialRegions {
		for s, service := range trialServices {
			for i := range trialTargetsPerService {
				zone := ident.Zone(string(region) + []string{"-a", "-b"}[i%2])
				target := f.startTarget(service, region, zone, 3+(i+s)%4, 0)
				entry, err := target.ListEntry(lister.Live)
				f.must(err)
				f.targets, list = append(f.targets, target), append(list, entry)
				f.regions[target.ID()] = region
			}
		}
	}
	for _, service := range trialServices {
		target := f.startTarget(service, "north", "north-a", 64, 0)
		f.targets, f.direct = append(f.targets, target), append(f.direct, target.Address())
	}
	platform, err := stand.StartPlatform(context.Background(), f.system, stand.WithTargets(list...))
	f.must(err)
	f.platform = platform
}

func (f *trialFleet) startTarget(service ident.Service, region ident.Region, zone ident.Zone, slots, queue int) *stand.Target {
	number := len(f.targets) + 1
	target, err := stand.StartTarget(context.Background(), f.system,
		stand.WithID(ident.Target(fmt.Sprintf("target-%d", number))), stand.WithService(service),
		stand.WithLocation(zone, region), stand.WithSlots(slots), stand.WithQueue(queue),
		stand.WithServiceTime(trialServiceTime, trialSpread), stand.WithSeed(uint64(number)), stand.WithColdStart(20, 2))
	f.must(err)
	return target
}

func (f *trialFleet) startTrialEntry(p *process, number int) {
	region := string(trialRegions[number%len(trialRegions)])
	zone := region + []string{"-a", "-b"}[number/len(trialRegions)%2]
	f.start(p, "entry", f.entrySettings(p, zone, region))
}

// attempt is the result of one attempt of the load tool.
type attempt struct {
	endedAt time.Time
	latency time.Duration
	served  bool
	reason  string
	service string
	path    string
}

// recordingTransport records the attempts that are sent through it.
type recordingTransport struct {
	next     http.RoundTripper
	mutex    *sync.Mutex
	attempts *[]attempt
}

var _ http.RoundTripper = recordingTransport{}

// RoundTrip implements http.RoundTripper.
func (t recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(r.Host, ".test") {
		// Look-ups and direct calls are not recorded.
		return t.next.RoundTrip(r)
	}
	startedAt := clock.Wall().Now()
	response, err := t.next.RoundTrip(r)
	a := attempt{endedAt: clock.Wall().Now(), reason: "no-answer", service: strings.TrimSuffix(r.Host, ".test"), path: r.URL.Path}
	a.latency = a.endedAt.Sub(startedAt)
	if err == nil {
		a.reason = response.Header.Get("Rhubarbrack-Reason")
		a.served = response.Header.Get("Rhubarbrack-Outcome") == "ran"
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	*t.attempts = append(*t.attempts, a)
	return response, err
}
