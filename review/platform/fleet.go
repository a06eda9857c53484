package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	firstInternalPort = 17740
	lastInternalPort  = 17755
	controlPort       = 18688
	directoryPort     = 18684
	frontPort         = 18686
	readyPort         = 18680
	listPort          = 18682
	serverPort        = 18601
)

// contactTime is ContactMs of the settings.
const contactTime = 3 * time.Second

// zones maps the zones of the deployment to their regions.
var zones = []struct{ zone, region string }{
	{"bolivar", "galveston"}, {"port-aransas", "corpus"}, {"sabine-north", "sabine"},
	{"seawall", "galveston"}, {"harbor-island", "corpus"}, {"sabine-south", "sabine"},
}

// process is a program of the project that the script has started.
type process struct {
	name     string
	role     string
	ip       string
	settings string
	command  *exec.Cmd
	log      *os.File
}

// fleet holds the processes of one run, and the record.
type fleet struct {
	prefix    string
	folder    string
	binary    string
	controls  []*process
	entries   []*process
	client    *http.Client
	startedAt time.Time

	mutex  sync.Mutex
	record *os.File
}

// newFleet returns a fleet that writes to the record and keeps its files in a
// temporary folder.
func newFleet(binary, recordName string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordName)
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, binary: binary, record: record, startedAt: time.Now()}
	f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	if f.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	return f, nil
}

// freePrefix returns the first three bytes of loopback addresses at which nothing
// listens.
func freePrefix() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, controlPort))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		return prefix, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// note writes a line to the record.
func (f *fleet) note(format string, values ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f ", time.Since(f.startedAt).Seconds())
	_, _ = fmt.Fprintf(f.record, format+"\n", values...)
}

// settingsText returns the settings of a process as the platform writes them.
func (f *fleet) settingsText(p *process, zone, region string, isFirstStart bool) string {
	var b strings.Builder
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(&b, format+"\n", values...) }
	isControl := p.role == "platform-control"
	line("[Self]\nNodeName = %q\nRole = %q\nIp = %q\nZone = %q\nRegion = %q", p.name, p.role, p.ip, zone, region)
	line("CountsAsLoss = %t\nBootstrap = %t", isControl, isFirstStart)
	if isControl {
		line("MachineClass = \"core\"\nServes = [\"control\",\"directory\"]\nDataDir = %q", f.dataFolder(p))
	} else {
		line("MachineClass = \"front\"\nServes = [\"front\",\"directory\"]")
	}
	line("[Self.Limits]\nCpuShare = 0.96\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 256")
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, controlPort)))
	}
	line("[Network]\nInternalPorts = [%d,%d]\nSeeds = [%s]", firstInternalPort, lastInternalPort, strings.Join(seeds, ","))
	line("[Network.Listen]\nDirectory = \"%s:%d\"", p.ip, directoryPort)
	if isControl {
		line("Control = \"%s:%d\"", p.ip, controlPort)
	} else {
		line("Front = \"%s:%d\"\nReady = \"%s:%d\"", p.ip, frontPort, p.ip, readyPort)
	}
	line("[Network.Zones]")
	for _, z := range zones {
		line("%s = %q", z.zone, z.region)
	}
	line("[Provider]\nDiscovery = \"cloud_api\"\nEntry = \"directory\"\nHeartbeatMs = 1500\nConfigMode = \"highest\"")
	line("[Provider.Cloud]\nAddress = \"%s.200:%d\"\nRatePerS = 50.0\nDuties = []\nLagMs = 800", f.prefix, listPort)
	line("[Terms]\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"tenants\",\"quota\"]")
	line("[Terms.FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 1")
	line("[Terms.Bounds]\nSeedLagS = 3\nReuseDelayS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 3000")
	line("GraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 2500\nRollbackSlackMs = 250\nMaxSkewMs = 5000")
	line("StrictRevoke = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetryBudgetSlack = 60")
	line("QuotaWindowS = 5\nQuotaOverage = 0.1\nQuotaSlack = 20\nColdOverage = 1.5\nColdSlack = 5")
	line("EvacuationMs = 5000\nRecoveryS = 15\nttl_max_s = 5\nMaxShift = 0.15")
	return b.String()
}

func (f *fleet) dataFolder(p *process) string { return filepath.Join(f.folder, "data-"+p.name) }

// addControl and addEntry add a process without starting it.
func (f *fleet) addControl() *process {
	n := len(f.controls) + 1
	p := &process{name: fmt.Sprintf("core-%d", n), role: "platform-control", ip: fmt.Sprintf("%s.%d", f.prefix, n)}
	f.controls = append(f.controls, p)
	return p
}

func (f *fleet) addEntry() *process {
	n := len(f.entries) + 1
	p := &process{name: fmt.Sprintf("front-%d", n), role: "platform-entry", ip: fmt.Sprintf("%s.%d", f.prefix, 50+n)}
	f.entries = append(f.entries, p)
	return p
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process, position int, isFirstStart bool) error {
	z := zones[position%len(zones)]
	p.settings = filepath.Join(f.folder, p.name+".toml")
	if err := os.WriteFile(p.settings, []byte(f.settingsText(p, z.zone, z.region, isFirstStart)), 0o600); err != nil {
		return err
	}
	var err error
	if p.log, err = os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	p.command = exec.Command(f.binary, p.role)
	p.command.Env = append(os.Environ(), "RHUBARBRACK_CONFIG="+p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	f.note("start %s at %s", p.name, p.ip)
	return p.command.Start()
}

// kill ends a process at once.
func (f *fleet) kill(p *process) {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command = nil
}

// end ends all processes and removes the files.
func (f *fleet) end() {
	for _, p := range append(append([]*process(nil), f.controls...), f.entries...) {
		f.kill(p)
	}
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// call sends a call of the operator or the platform to a process, and returns the
// status or 0.
func (f *fleet) call(method, address, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := f.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// configText returns a configuration with one route that may run more than once.
func configText(version int) []byte {
	route := map[string]any{
		"Name": "r-1", "Kind": "safe", "TargetLatencyMs": 200, "Priority": 1, "Public": false, "Sticky": true,
		"Match":  map[string]any{"PathPrefix": "/timetable/"},
		"Action": map[string]any{"Backend": "timetable", "TimeoutMs": 1200, "MaxAttempts": 2, "AllowedRegions": []string{}},
	}
	text, err := json.Marshal(map[string]any{
		"Version":   fmt.Sprintf("%08x", version),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":   []any{map[string]any{"Name": "landing", "ApiKeys": []string{"key-1"}, "Priority": 1, "RatePerS": 300, "Burst": 300, "AllowedRegions": []string{}}},
		"Listeners": []any{map[string]any{"Hostname": "bells.example", "Policy": []any{route}}},
		"Clusters": []any{map[string]any{
			"Name": "timetable", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 15.0,
		}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// put sends a configuration to one control host after the other until one
// acknowledges it or the time is over.
func (f *fleet) put(version int, limit time.Duration) bool {
	text := configText(version)
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, c := range f.controls {
			if c.command == nil {
				continue
			}
			status, _ := f.call(http.MethodPost, fmt.Sprintf("%s:%d", c.ip, controlPort), "/v1/Config.Put", text)
			f.note("put version %d at %s: %d", version, c.name, status)
			if status == http.StatusOK {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all entry hosts say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if status, _ := f.call(http.MethodGet, fmt.Sprintf("%s:%d", e.ip, readyPort), "/v1/ready", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			f.note("all entry hosts are ready")
			return true
		}
	}
	return false
}
