package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// bounds are the bounds of the settings that the cases judge by. They are those of a
// small deployment.
const (
	drainTime    = 3 * time.Second
	contactTime  = 3 * time.Second
	coldOverage  = 1.5
	coldSlack    = 5.0
	reuseDelay   = 2 * time.Second
	listLag      = 800 * time.Millisecond
	configApply  = 2 * time.Second
	coldDuration = 3 * time.Second
	coldRate     = 15.0
)

// zones are the availability zones and their regions.
var zones = []struct{ zone, region string }{
	{"zentral-a", "zentral"}, {"romandie-a", "romandie"}, {"ostschweiz-a", "ostschweiz"},
	{"zentral-b", "zentral"}, {"romandie-b", "romandie"},
}

// host is a machine of the system with its process.
type host struct {
	name, role, address, zone string
	settings, data            string
	process                   *exec.Cmd
	ended                     chan struct{}
}

// fleet holds the processes of the system.
type fleet struct {
	root, directory string
	network         *network
	record          *record
	controls        []*host
	entries         []*host
	platform        string
	first           bool
}

// newFleet lays out control hosts and entry hosts, one zone after the other.
func newFleet(root, directory string, n *network, r *record, platform string, controls, entries int) *fleet {
	f := &fleet{root: root, directory: directory, network: n, record: r, platform: platform, first: true}
	for i := range controls {
		f.controls = append(f.controls, f.newHost("core", "platform-control", i))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newHost("front", "platform-entry", i))
	}
	return f
}

func (f *fleet) newHost(class, role string, i int) *host {
	zone := zones[i%len(zones)].zone
	name := fmt.Sprintf("%s-%s-%d", class, zone, 1+i/len(zones))
	h := &host{name: name, role: role, address: f.network.machine(), zone: zone}
	h.settings = filepath.Join(f.directory, name+".toml")
	h.data = filepath.Join(f.directory, name)
	return h
}

// start starts all processes.
func (f *fleet) start() error {
	for _, h := range append(append([]*host{}, f.controls...), f.entries...) {
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	f.first = false
	return nil
}

// startHost starts the process of a host with the command of the deploy file.
func (f *fleet) startHost(h *host) error {
	if err := os.WriteFile(h.settings, []byte(f.settingsOf(h)), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", h.name, err)
	}
	if h.role == "platform-control" {
		if err := os.MkdirAll(h.data, 0o700); err != nil {
			return fmt.Errorf("data folder of %s: %w", h.name, err)
		}
	}
	out, err := os.OpenFile(filepath.Join(f.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", h.name, err)
	}
	defer out.Close()
	c := exec.Command(filepath.Join(f.root, "target", "rhubarbrack"), h.role)
	c.Dir, c.Stdout, c.Stderr = f.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.directory, "RHUBARBRACK_CONFIG=" + h.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	h.process, h.ended = c, make(chan struct{})
	ended := h.ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	f.record.add("%s starts at %s, process %d", h.name, h.address, c.Process.Pid)
	return nil
}

// stop kills the processes that are running and waits for their ends.
func (f *fleet) stop() {
	for _, h := range append(append([]*host{}, f.controls...), f.entries...) {
		if h.process == nil {
			continue
		}
		// An error means that the process has ended.
		_ = h.process.Process.Kill()
		<-h.ended
	}
}

// hasEnded returns the hosts whose process has ended by itself.
func (f *fleet) hasEnded() []string {
	var names []string
	for _, h := range append(append([]*host{}, f.controls...), f.entries...) {
		select {
		case <-h.ended:
			names = append(names, h.name)
		default:
		}
	}
	return names
}

// settingsOf returns the settings file of a host.
func (f *fleet) settingsOf(h *host) string {
	n := f.network
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	isControl := h.role == "platform-control"
	class, serves, cpu, memory, fds := "front", `["front","directory"]`, 0.32, 284, 4100
	if isControl {
		class, serves, cpu, memory, fds = "core", `["control","directory"]`, 0.96, 280, 4096
	}
	line("[Self]\nNodeName = %q\nRole = %q\nMachineClass = %q\nServes = %s\nIp = %q", h.name, h.role, class, serves, h.address)
	line("Zone = %q\nRegion = %q\nCountsAsLoss = %t\nBootstrap = %t", h.zone, regionOf(h.zone), isControl, f.first)
	if isControl {
		line("DataDir = %q", h.data)
	}
	line("[Self.Limits]\nCpuShare = %v\nCores = 1\nMemoryMb = %d\nMaxFds = %d\nLinkMbps = 1000.0\nDiskMb = 256", cpu, memory, fds)
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", n.at(c.address, portControl)))
	}
	line("[Network]\nInternalPorts = [%d,%d]\nSeeds = [%s]", n.base+portInternal, n.base+portInternal+internalPorts-1, strings.Join(seeds, ","))
	line("[Network.Listen]")
	if isControl {
		line("Control = %q", n.at(h.address, portControl))
	} else {
		line("Front = %q\nReady = %q", n.at(h.address, portFront), n.at(h.address, portReady))
	}
	line("Directory = %q\n[Network.Zones]", n.at(h.address, portDirectory))
	for _, z := range zones {
		line("%s = %q", z.zone, z.region)
	}
	line("[Provider]\nDiscovery = \"cloud_api\"\nEntry = \"directory\"\nHeartbeatMs = 1500\nConfigMode = \"highest\"")
	line("[Provider.Cloud]\nAddress = %q\nRatePerS = 44.0\nDuties = []\nLagMs = %d", f.platform, listLag.Milliseconds())
	line("[Terms]\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"tenants\",\"quota\"]")
	line("[Terms.FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 1")
	line("[Terms.Bounds]\nSeedLagS = 3\nReuseDelayS = 2\nContactMs = %d\nAckMs = 4000\nCatchUpS = 4", contactTime.Milliseconds())
	line("DrainMs = %d\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = %d", drainTime.Milliseconds(), configApply.Milliseconds())
	line("RollbackSlackMs = 250\nMaxSkewMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2")
	line("BudgetWindowS = 10\nRetryBudgetSlack = 56\nQuotaWindowS = 5\nQuotaOverage = 0.1\nQuotaSlack = 20")
	line("ColdOverage = %v\nColdSlack = %v\nEvacuationMs = 5000\nRecoveryS = 15\nttl_max_s = 5\nMaxShift = 0.15", coldOverage, coldSlack)
	return b.String()
}

func regionOf(zone string) string {
	for _, z := range zones {
		if z.zone == zone {
			return z.region
		}
	}
	return ""
}

var errNotReady = errors.New("the system is not ready in time")
