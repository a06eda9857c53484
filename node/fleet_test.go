package node_test

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"rhubarbrack/addrs"
	"rhubarbrack/certs"
	"rhubarbrack/clock"
	"rhubarbrack/cmds"
	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/oper"
	"rhubarbrack/prof"
	"rhubarbrack/route"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"
)

// argumentsVariable is the environment variable that makes the test binary run
// the command line instead of the tests, so that tests can kill and suspend their
// own processes.
const argumentsVariable = "RHUBARBRACK_TEST_ARGUMENTS"

// TestMain runs the command line if the process was started by a test.
func TestMain(m *testing.M) {
	if text := os.Getenv(argumentsVariable); text != "" {
		os.Exit(cmds.Run(context.Background(), strings.Split(text, " "), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	operatorToken = "test-operator"
	// testTimeout limits every wait of these tests. It only ends a test that
	// hangs; no check depends on its value.
	testTimeout = 60 * time.Second
)

// process is a host that runs as a separate process.
type process struct {
	name      string
	settings  string
	addresses map[string]string
	command   *exec.Cmd
	exited    chan struct{}
}

// fleet is a system of separate processes with stand-ins for the platform and the
// targets.
type fleet struct {
	t         *testing.T
	directory string
	addresses *addrs.Block
	system    *tasks.System
	platform  *stand.Platform
	targets   []*stand.Target
	controls  []*process
	entries   []*process
	keys      map[ident.Team]string
	documents map[string]codec.SourceDocument
	// authority signs the certificates of all hosts. It is nil for plain text.
	authority *certs.Authority
	clientTLS *tls.Config
}

// newFleet starts the given numbers of control and entry hosts and two targets
// of each service in each region, puts the documents of the sample, and waits
// until they are in force.
func newFleet(t *testing.T, controls, entries int, options ...fleetOption) *fleet {
	t.Helper()
	f := &fleet{
		t: t, directory: t.TempDir(), keys: make(map[ident.Team]string),
		system:    tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil))),
		documents: make(map[string]codec.SourceDocument),
	}
	t.Cleanup(f.stopAll)
	for _, apply := range options {
		apply(f)
	}
	data, err := os.ReadFile("../sample/dev.yaml")
	f.must(err)
	documents, err := codec.DecodeDocuments(data)
	f.must(err)
	f.startTargets(documents)
	for i := range controls {
		f.controls = append(f.controls, &process{name: fmt.Sprintf("control-%d", i+1), addresses: f.freeAddresses("peers", "operators")})
	}
	for _, p := range f.controls {
		f.startControl(p)
	}
	for i := range entries {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), addresses: f.freeAddresses("callers", "peers", "operators")}
		f.entries = append(f.entries, p)
		f.startEntry(p, i)
	}
	f.putSample(documents)
	return f
}

// fleetOption configures a fleet before it starts.
type fleetOption func(*fleet)

// withTLS gives every host certificates for all its listeners.
func withTLS(f *fleet) {
	authority, err := certs.NewAuthority(clock.Wall().Now())
	f.must(err)
	f.authority = authority
	files := f.certificates("client", nil)
	f.clientTLS, err = certs.NewClientConfig(files.Authority())
	f.must(err)
}

func (f *fleet) certificates(name string, addresses map[string]string) certs.Files {
	var ips []net.IP
	for _, a := range addresses {
		ip, _, err := net.SplitHostPort(a)
		f.must(err)
		ips = append(ips, net.ParseIP(ip))
	}
	pair, err := f.authority.Issue(ident.Host(name), ips...)
	f.must(err)
	files, err := pair.Write(filepath.Join(f.directory, "certificates"), name)
	f.must(err)
	return files
}

// tlsSettings returns the TLS section of the settings of a host.
func (f *fleet) tlsSettings(p *process) string {
	if f.authority == nil {
		return ""
	}
	files := f.certificates(p.name, p.addresses)
	var b strings.Builder
	b.WriteString("tls:\n")
	for _, listener := range []string{"callers", "operators", "peers"} {
		if p.addresses[listener] == "" {
			continue
		}
		fmt.Fprintf(&b, "  %s:\n    certificate: %s\n    key: %s\n", listener, files.Certificate(), files.Key())
		if listener == "peers" {
			fmt.Fprintf(&b, "    authorities: %s\n", files.Authority())
		}
	}
	return b.String()
}

// urlScheme returns the prefix of the URLs for callers and operators.
func (f *fleet) urlScheme() string {
	if f.authority == nil {
		return "http://"
	}
	return "https://"
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) startTargets(documents []codec.SourceDocument) {
	ctx := context.Background()
	var list []lister.Target
	for _, d := range documents {
		service, ok := d.Document().(*prof.Service)
		if !ok {
			continue
		}
		for _, region := range []string{"north", "south"} {
			for _, zone := range []string{"a", "b"} {
				number := len(list) + 1
				target, err := stand.StartTarget(ctx, f.system,
					stand.WithID(ident.Target(fmt.Sprintf("target-%d", number))), stand.WithService(service.Service()),
					stand.WithLocation(ident.Zone(region+"-"+zone), ident.Region(region)), stand.WithSlots(4),
					stand.WithServiceTime(5*time.Millisecond, 0.2), stand.WithSeed(uint64(number)))
				f.must(err)
				entry, err := target.ListEntry(lister.Live)
				f.must(err)
				f.targets = append(f.targets, target)
				list = append(list, entry)
			}
		}
	}
	platform, err := stand.StartPlatform(ctx, f.system, stand.WithTargets(list...))
	f.must(err)
	f.platform = platform
}

// freeAddresses returns an address for each use, which no other process uses
// until the end of the test.
func (f *fleet) freeAddresses(uses ...string) map[string]string {
	f.t.Helper()
	if f.addresses == nil {
		block, err := addrs.Reserve()
		f.must(err)
		f.addresses = block
		f.t.Cleanup(func() { _ = block.Release() })
	}
	out := make(map[string]string)
	for _, use := range uses {
		address, err := f.addresses.Next()
		f.must(err)
		out[use] = address
	}
	return out
}

func (f *fleet) controlHostSettings(hosts ...*process) string {
	var b strings.Builder
	b.WriteString("control-hosts:\n")
	for _, p := range hosts {
		fmt.Fprintf(&b, "  - host: %s\n    address: %s\n", p.name, p.addresses["peers"])
	}
	return b.String()
}

func (f *fleet) tokenSettings() string {
	hash := sha256.Sum256([]byte(operatorToken))
	return fmt.Sprintf("operator-tokens:\n  - name: test\n    sha256: %s\n", hex.EncodeToString(hash[:]))
}

func (f *fleet) dataDirectory(p *process) string { return filepath.Join(f.directory, p.name) }

// startControl starts a control host, as a replacement if it is not one of the
// fleet's control hosts.
func (f *fleet) startControl(p *process) {
	text := fmt.Sprintf("role: control\nhost: %s\nzone: north-a\nregion: north\ndata-directory: %s\n"+
		"listen:\n  peers: %s\n  operators: %s\nplatform-list: %s\n%s%s",
		p.name, f.dataDirectory(p), p.addresses["peers"], p.addresses["operators"], f.platform.URL(),
		f.controlHostSettings(f.controls...), f.tokenSettings())
	if !slices.Contains(f.controls, p) {
		text += "replacement: true\n"
	}
	f.start(p, "control", text)
}

func (f *fleet) startEntry(p *process, number int) {
	region := []string{"north", "south"}[number%2]
	zone := region + []string{"-a", "-b"}[number/2%2]
	f.start(p, "entry", f.entrySettings(p, zone, region))
}

func (f *fleet) entrySettings(p *process, zone, region string) string {
	return fmt.Sprintf("role: entry\nhost: %s\nzone: %s\nregion: %s\n"+
		"listen:\n  callers: %s\n  peers: %s\n  operators: %s\nplatform-list: %s\n%s%s",
		p.name, zone, region, p.addresses["callers"], p.addresses["peers"], p.addresses["operators"], f.platform.URL(),
		f.controlHostSettings(f.controls...), f.tokenSettings())
}

func (f *fleet) start(p *process, role, text string) {
	f.t.Helper()
	p.settings = filepath.Join(f.directory, p.name+".yaml")
	text += f.tlsSettings(p)
	f.must(os.WriteFile(p.settings, []byte(text), 0o600))
	f.restart(p, role)
}

// restart starts the process of a host with its existing settings file.
func (f *fleet) restart(p *process, role string) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	f.must(err)
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), argumentsVariable+"="+role+" -settings "+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	f.must(p.command.Start())
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// kill kills a process and waits until it has exited.
func (f *fleet) kill(p *process) {
	_ = p.command.Process.Kill()
	<-p.exited
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	f.t.Helper()
	f.must(p.command.Process.Signal(s))
}

func (f *fleet) stopAll() {
	for _, p := range append(append([]*process(nil), f.controls...), f.entries...) {
		if p.command != nil {
			f.kill(p)
		}
		if f.t.Failed() {
			if data, err := os.ReadFile(filepath.Join(f.directory, p.name+".log")); err == nil {
				f.t.Logf("log of %s:\n%s", p.name, data)
			}
		}
	}
	f.platform.Close()
	for _, target := range f.targets {
		target.Close()
	}
	f.system.Shutdown()
}

// client returns a client of the operator API of the given control hosts.
func (f *fleet) client(hosts ...*process) *oper.Client {
	var bases []string
	for _, p := range hosts {
		bases = append(bases, f.urlScheme()+p.addresses["operators"])
	}
	transport := &http.Transport{TLSClientConfig: f.clientTLS, DisableKeepAlives: true}
	return oper.NewClient(bases, operatorToken, oper.WithHTTPClient(&http.Client{Transport: transport}))
}

func (f *fleet) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f.t.Cleanup(cancel)
	return ctx
}

// sampleRoles is the number of roles in the sample: slots of two regions and four
// rate shards. sampleShares is its number of pairs of a service and an origin
// region.
const (
	sampleRoles  = 6
	sampleShares = 4
)

func (f *fleet) putSample(documents []codec.SourceDocument) {
	f.t.Helper()
	f.putAll(documents, sampleRoles, sampleShares)
}

// putAll puts documents, issues a key for each team, and waits until all changes
// are in force, with the given numbers of roles and shares assigned.
func (f *fleet) putAll(documents []codec.SourceDocument, roles, shares int) {
	f.t.Helper()
	client, ctx := f.client(f.controls...), f.context()
	for _, d := range documents {
		f.documents[string(d.Document().Kind())+"/"+d.Document().Name()] = d
		_, err := client.PutDocument(ctx, oper.NewRequestID(), []byte(d.Source()), 0)
		f.must(err)
		if team, ok := d.Document().(*prof.Team); ok {
			f.issueKey(team.Team())
		}
	}
	f.waitForAssignments(roles, shares)
}

// issueKey issues a key for a team, stores it in f.keys and returns its ID.
func (f *fleet) issueKey(team ident.Team) string {
	f.t.Helper()
	id := ident.KeyID(string(team) + "-" + strings.ToLower(oper.NewRequestID()[:6]))
	text := route.KeyText(id, oper.NewRequestID())
	hash := route.KeyHash(text)
	_, err := f.client(f.controls...).IssueKey(f.context(), oper.NewRequestID(),
		oper.KeyRecord{ID: string(id), Team: string(team), SHA256: hex.EncodeToString(hash[:])})
	f.must(err)
	f.keys[team] = text
	return string(id)
}

// waitReady waits until all changes are in force at every entry host, every role
// has a holder, and every service has shares.
func (f *fleet) waitReady() {
	f.t.Helper()
	f.waitForAssignments(sampleRoles, sampleShares)
}

func (f *fleet) waitForAssignments(roles, shares int) {
	f.t.Helper()
	client, ctx := f.client(f.controls...), f.context()
	for {
		status, err := client.Status(ctx)
		f.must(err)
		held := len(status.Roles) == roles && len(status.Shares) == shares && len(status.Entries) == len(f.entries)
		for _, r := range status.Roles {
			held = held && r.Host != ""
		}
		if held && status.InForce == status.Revision {
			return
		}
		_, err = client.InForce(ctx, status.Revision+1, 100*time.Millisecond)
		f.must(err)
	}
}

// request is a request of a caller.
type request struct {
	method, service, path, key, idempotencyKey, body string
	header                                           http.Header
}

// callResult is the response to a caller, or the error of the call.
type callResult struct {
	status    int
	outcome   string
	reason    string
	requestID string
	body      []byte
	err       error
}

// send sends a request to an entry host on a new connection.
func (f *fleet) send(p *process, r request) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	method := r.method
	if method == "" {
		method = http.MethodGet
	}
	call, err := http.NewRequestWithContext(ctx, method, f.urlScheme()+p.addresses["callers"]+r.path, strings.NewReader(r.body))
	if err != nil {
		return callResult{err: err}
	}
	for name, values := range r.header {
		call.Header[name] = values
	}
	call.Host, call.Close = r.service+".test", true
	if r.key != "" {
		call.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.idempotencyKey != "" {
		call.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: f.clientTLS}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(call)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, outcome: response.Header.Get("Rhubarbrack-Outcome"),
		reason: response.Header.Get("Rhubarbrack-Reason"), requestID: response.Header.Get("Rhubarbrack-Request"),
		body: body, err: err,
	}
}

// countRuns returns how often the targets ran the request with an idempotency
// key.
func (f *fleet) countRuns(idempotencyKey string) int {
	f.t.Helper()
	n := 0
	for _, target := range f.targets {
		list, err := target.Runs(f.context())
		f.must(err)
		for _, r := range list {
			if r.IdempotencyKey() == idempotencyKey {
				n++
			}
		}
	}
	return n
}

// waitUntil calls a step repeatedly until it reports success.
func (f *fleet) waitUntil(condition string, step func() bool) {
	f.t.Helper()
	ctx := f.context()
	for !step() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("%s: not reached within %s", condition, testTimeout)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
