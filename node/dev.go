package node

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"rhubarbrack/codec"
	"rhubarbrack/conf"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/oper"
	"rhubarbrack/prof"
	"rhubarbrack/route"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"
)

const (
	// devToken is the operator token of a development process. It is public,
	// which is safe because the process listens on loopback only.
	devToken = "dev-operator"
	// defaultDevTargets is the number of stand-in targets of each service in each
	// region, and defaultDevSlots the number of slots of each target.
	defaultDevSlots   = 4
	defaultDevTargets = 2
	// defaultDevServiceTime is the median service time of a stand-in target.
	defaultDevServiceTime = 3 * time.Millisecond
	// devStartTimeout limits the time until the whole process is ready.
	devStartTimeout = 30 * time.Second
)

// DevSystem is a whole system in one process for development: one control host,
// an entry host in each of the first two regions, and stand-ins for the platform
// and the targets.
type DevSystem struct {
	out               io.Writer
	port              int
	directory         string
	documents         []codec.SourceDocument
	fleet             *prof.Fleet
	options           []Option
	targets           []*stand.Target
	keys              []devKey
	ready             func(DevAddresses)
	targetsPerService int
	targetSlots       int
	serviceTime       time.Duration
}

// DevAddresses holds the addresses of a development process and a key of each
// team.
type DevAddresses struct {
	control string
	entries []string
	explain []string
	keys    map[ident.Team]string
}

// Control returns the base URL of the operator API.
func (a DevAddresses) Control() string { return a.control }

// Entries returns the base URLs at which the entry hosts serve callers.
func (a DevAddresses) Entries() []string { return a.entries }

// Explain returns the base URLs at which the entry hosts serve explanations of
// requests.
func (a DevAddresses) Explain() []string { return a.explain }

// Key returns a key of a team.
func (a DevAddresses) Key(team ident.Team) string { return a.keys[team] }

// Token returns the operator token.
func (a DevAddresses) Token() string { return devToken }

type devKey struct {
	team ident.Team
	text string
}

// DevOption configures a DevSystem.
type DevOption func(*DevSystem)

// DevPort sets the lowest of the ports that the process uses. The default is
// 7300.
func DevPort(port int) DevOption { return func(d *DevSystem) { d.port = port } }

// DevDirectory sets the data directory of the control host. The default is a
// temporary directory that Run removes when it returns.
func DevDirectory(path string) DevOption { return func(d *DevSystem) { d.directory = path } }

// DevReady sets a function that is called when the process is ready to serve.
func DevReady(ready func(DevAddresses)) DevOption { return func(d *DevSystem) { d.ready = ready } }

// DevHostOptions sets the options of all hosts in the process.
func DevHostOptions(opts ...Option) DevOption { return func(d *DevSystem) { d.options = opts } }

// DevTargets sets the number of stand-in targets of each service in each
// region, their slots, and their median service time.
func DevTargets(count, slots int, median time.Duration) DevOption {
	return func(d *DevSystem) { d.targetsPerService, d.targetSlots, d.serviceTime = count, slots, median }
}

const defaultDevPort = 7300

// NewDevSystem returns a system configured by the documents of a sample, which
// are separated by lines of "---". It prints instructions to out when it is
// ready.
func NewDevSystem(sample []byte, out io.Writer, opts ...DevOption) (*DevSystem, error) {
	d := &DevSystem{
		out: out, port: defaultDevPort, ready: func(DevAddresses) {},
		targetsPerService: defaultDevTargets, targetSlots: defaultDevSlots, serviceTime: defaultDevServiceTime,
	}
	for _, apply := range opts {
		apply(d)
	}
	documents, err := codec.DecodeDocuments(sample)
	if err != nil {
		return nil, fmt.Errorf("sample: %w", err)
	}
	d.documents = documents
	for _, s := range documents {
		if fleet, ok := s.Document().(*prof.Fleet); ok {
			d.fleet = fleet
		}
	}
	if d.fleet == nil || len(d.fleet.Regions()) < 2 {
		return nil, fmt.Errorf("sample: no document of kind %s with at least two regions", prof.KindFleet)
	}
	return d, nil
}

// Run runs the system until ctx is cancelled or a host fails.
func (d *DevSystem) Run(ctx context.Context) error {
	if d.directory == "" {
		directory, err := os.MkdirTemp("", "rhubarbrack-dev-")
		if err != nil {
			return fmt.Errorf("data directory: %w", err)
		}
		defer func() { _ = os.RemoveAll(directory) }()
		d.directory = directory
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := newOptions(d.options)
	system := tasks.NewSystem(o.log)
	defer system.Shutdown()
	// The stand-ins outlive the hosts, so that hosts can finish their requests.
	standInCtx, stopStandIns := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandIns()
	platform, err := d.startStandIns(standInCtx, system)
	if err != nil {
		return fmt.Errorf("run development process: %w", err)
	}
	results := make(chan error, 1+devEntryHosts)
	started := d.startHosts(ctx, platform.URL(), results)
	configured := make(chan error, 1)
	go func() { configured <- d.configure(ctx) }()
	return d.wait(ctx, cancel, started, configured, results)
}

// wait returns when all running hosts have ended. It returns the first error.
func (d *DevSystem) wait(ctx context.Context, cancel func(), running int, configured, results <-chan error) error {
	var first error
	for running > 0 {
		select {
		case err := <-configured:
			configured = nil
			if err != nil {
				first = err
				cancel()
			}
		case err := <-results:
			running--
			if err != nil && first == nil {
				first = err
			}
			if ctx.Err() == nil {
				cancel()
			}
		}
	}
	return first
}

// devEntryHosts is the number of entry hosts.
const devEntryHosts = 2

func (d *DevSystem) startStandIns(ctx context.Context, system *tasks.System) (*stand.Platform, error) {
	var list []lister.Target
	number := 0
	for _, s := range d.documents {
		service, ok := s.Document().(*prof.Service)
		if !ok {
			continue
		}
		for _, region := range d.fleet.Regions()[:devEntryHosts] {
			for range d.targetsPerService {
				number++
				zones := region.Zones()
				t, err := stand.StartTarget(ctx, system,
					stand.WithID(ident.Target(fmt.Sprintf("target-%d", number))), stand.WithService(service.Service()),
					stand.WithLocation(zones[number%len(zones)], region.Name()), stand.WithSlots(d.targetSlots),
					stand.WithServiceTime(d.serviceTime, 0.3), stand.WithSeed(uint64(number)))
				if err != nil {
					return nil, fmt.Errorf("stand-in target: %w", err)
				}
				entry, err := t.ListEntry(lister.Live)
				if err != nil {
					return nil, fmt.Errorf("stand-in target: %w", err)
				}
				d.targets = append(d.targets, t)
				list = append(list, entry)
			}
		}
	}
	platform, err := stand.StartPlatform(ctx, system, stand.WithTargets(list...))
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: %w", err)
	}
	return platform, nil
}

// startHosts starts the hosts, each of which sends one result to results, and
// returns the number of results.
func (d *DevSystem) startHosts(ctx context.Context, platform string, results chan<- error) int {
	control, err := d.controlSettings(platform)
	if err != nil {
		results <- err
		return 1
	}
	go func() { results <- RunControl(ctx, control, d.options...) }()
	for i := range devEntryHosts {
		s, err := d.entrySettings(i, platform)
		if err != nil {
			results <- err
			continue
		}
		go func() { results <- RunEntry(ctx, s, d.options...) }()
	}
	return 1 + devEntryHosts
}

// address returns the loopback address with the n-th port.
func (d *DevSystem) address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(d.port+n))
}

func (d *DevSystem) controlSettings(platform string) (*conf.Settings, error) {
	region := d.fleet.Regions()[0]
	s, err := conf.New(conf.RoleControl, "control-1",
		conf.WithLocation(region.Zones()[0], region.Name()),
		conf.WithListenAddress(conf.Peers, d.address(0)), conf.WithListenAddress(conf.Operators, d.address(1)),
		conf.WithControlHosts(conf.NewControlHost("control-1", d.address(0))),
		conf.WithDataDirectory(d.directory), conf.WithPlatformList(platform),
		conf.WithOperatorTokens(conf.NewOperatorToken("dev", sha256.Sum256([]byte(devToken)))))
	if err != nil {
		return nil, fmt.Errorf("settings of the control host: %w", err)
	}
	return s, nil
}

// devPortsPerEntry is the distance between the first ports of two entry hosts.
const devPortsPerEntry = 10

func (d *DevSystem) entrySettings(i int, platform string) (*conf.Settings, error) {
	region := d.fleet.Regions()[i]
	first := (i + 1) * devPortsPerEntry
	s, err := conf.New(conf.RoleEntry, ident.Host(fmt.Sprintf("entry-%d", i+1)),
		conf.WithLocation(region.Zones()[0], region.Name()),
		conf.WithListenAddress(conf.Callers, d.address(first)), conf.WithListenAddress(conf.Peers, d.address(first+1)),
		conf.WithListenAddress(conf.Operators, d.address(first+2)), conf.WithListenAddress(conf.Metrics, d.address(first+3)),
		conf.WithControlHosts(conf.NewControlHost("control-1", d.address(0))), conf.WithPlatformList(platform),
		conf.WithOperatorTokens(conf.NewOperatorToken("dev", sha256.Sum256([]byte(devToken)))))
	if err != nil {
		return nil, fmt.Errorf("settings of entry host %d: %w", i+1, err)
	}
	return s, nil
}

// configure puts the documents and issues a key for each team. It prints
// instructions when all changes are in force.
func (d *DevSystem) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	client := oper.NewClient([]string{"http://" + d.address(1).String()}, devToken)
	var last uint64
	for _, s := range d.documents {
		revision, err := d.putDocument(ctx, client, s)
		if err != nil {
			return fmt.Errorf("configure: %w", err)
		}
		last = max(last, revision)
		if team, ok := s.Document().(*prof.Team); ok {
			if revision, err = d.issueKey(ctx, client, team.Team()); err != nil {
				return fmt.Errorf("configure: %w", err)
			}
			last = max(last, revision)
		}
	}
	if err := d.waitReady(ctx, client, last); err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	d.printInstructions()
	d.ready(d.addresses())
	return nil
}

// putDocument puts a document. If a version is already in force, as after a
// restart with the same data directory, it expects and replaces that version.
func (d *DevSystem) putDocument(ctx context.Context, client *oper.Client, s codec.SourceDocument) (uint64, error) {
	kind, name := string(s.Document().Kind()), s.Document().Name()
	known, err := client.Documents(ctx, kind)
	if err != nil {
		return 0, fmt.Errorf("put %s %s: %w", kind, name, err)
	}
	var expected uint64
	for _, k := range known {
		if k.Name == name {
			expected = k.Revision
		}
	}
	out, err := client.PutDocument(ctx, oper.NewRequestID(), []byte(s.Source()), expected)
	if err != nil {
		return 0, fmt.Errorf("put %s %s: %w", kind, name, err)
	}
	return out.Revision, nil
}

func (d *DevSystem) issueKey(ctx context.Context, client *oper.Client, team ident.Team) (uint64, error) {
	id := ident.KeyID(string(team) + "-" + strings.ToLower(rand.Text()[:6]))
	text := route.KeyText(id, rand.Text())
	hash := route.KeyHash(text)
	out, err := client.IssueKey(ctx, oper.NewRequestID(), oper.KeyRecord{
		ID: string(id), Team: string(team), SHA256: hex.EncodeToString(hash[:]),
	})
	if err != nil {
		return 0, fmt.Errorf("issue key of team %s: %w", team, err)
	}
	d.keys = append(d.keys, devKey{team: team, text: text})
	return out.Revision, nil
}

// waitReady waits until the revision is in force, every role has a holder, and
// there are planned shares.
func (d *DevSystem) waitReady(ctx context.Context, client *oper.Client, revision uint64) error {
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return fmt.Errorf("wait for the system: %w", err)
		}
		if status.InForce >= revision && len(status.Entries) == devEntryHosts && allRolesHeld(status) && len(status.Shares) > 0 {
			return nil
		}
		if _, err := client.InForce(ctx, status.Revision+1, devPollTimeout); err != nil {
			return fmt.Errorf("wait for the system: %w", err)
		}
	}
}

// devPollTimeout is how long one poll waits for a change.
const devPollTimeout = 100 * time.Millisecond

func allRolesHeld(status oper.StatusRecord) bool {
	for _, r := range status.Roles {
		if r.Host == "" {
			return false
		}
	}
	return len(status.Roles) > 0
}

func (d *DevSystem) addresses() DevAddresses {
	out := DevAddresses{control: "http://" + d.address(1).String(), keys: make(map[ident.Team]string)}
	for i := range devEntryHosts {
		out.entries = append(out.entries, "http://"+d.address((i+1)*devPortsPerEntry).String())
		out.explain = append(out.explain, "http://"+d.address((i+1)*devPortsPerEntry+2).String())
	}
	for _, k := range d.keys {
		out.keys[k.team] = k.text
	}
	return out
}

// printInstructions prints the addresses, the keys and example calls.
func (d *DevSystem) printInstructions() {
	a := d.addresses()
	var b strings.Builder
	fmt.Fprintf(&b, "rhubarbrack is ready: 1 control host, %d entry hosts, %d stand-in targets.\n\n", devEntryHosts, len(d.targets))
	fmt.Fprintf(&b, "  export RHUBARBRACK_CONTROL=%s RHUBARBRACK_TOKEN=%s\n", a.control, devToken)
	for _, k := range d.keys {
		fmt.Fprintf(&b, "  export KEY_%s=%s\n", strings.ToUpper(strings.ReplaceAll(string(k.team), "-", "_")), k.text)
	}
	fmt.Fprintf(&b, "  export TARGET=%s # a stand-in of the first service, for direct calls\n", d.targets[0].Address())
	fmt.Fprintf(&b, "\nTry, in another terminal:\n\n")
	fmt.Fprintf(&b, "  curl '%s/.rhubarbrack/lookup?service=commissions'\n", a.entries[0])
	fmt.Fprintf(&b, "  curl -i -H 'Host: commissions.test' %s/catalogue\n", a.entries[0])
	fmt.Fprintf(&b, "  curl -i -H 'Host: commissions.test' -H \"Authorization: Bearer $KEY_CARVERS\" %s/progress\n", a.entries[1])
	fmt.Fprintf(&b, "  curl -i -H 'Host: commissions.test' -H \"Authorization: Bearer $KEY_CARVERS\" -H 'Idempotency-Key: d-1' -d amount=50 %s/deposits\n", a.entries[0])
	fmt.Fprintf(&b, "  rhubarbrack status    (or: go run . status)\n\nPress Ctrl-C to stop.\n")
	_, _ = io.WriteString(d.out, b.String())
}
