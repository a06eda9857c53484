// Package fleet starts the programs of the deploy file as separate processes on
// loopback addresses and writes down what a case sends, gets and runs.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds that the settings state and the cases judge by.
const (
	ContactTime     = 3 * time.Second
	CatchUpTime     = 4 * time.Second
	ConfigApplyTime = 2 * time.Second
	RecoveryTime    = 15 * time.Second
	AckTime         = 4 * time.Second
)

// Ports are the ports that all machines use.
type Ports struct {
	Front, Ready, Control, Directory, InternalFirst, InternalLast int
}

// Fleet is a small deployment in a temporary folder.
type Fleet struct {
	Root       string
	Folder     string
	Ports      Ports
	Zones      map[string]string
	Machines   int
	Grace      int
	Platform   string
	Record     *Record
	block      [2]int
	nextHost   int
	seeds      []string
	mutex      sync.Mutex
	machines   []*Machine
	firstStart bool
}

// Machine is one machine with one process.
type Machine struct {
	Name, IP, Zone, Role string
	fleet                *Fleet
	process              *exec.Cmd
	exited               chan struct{}
	log                  *os.File
}

// New returns a deployment without machines. The number of machines is what may be
// lost at the same time.
func New(root string, record *Record, tolerated, grace int) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	f := &Fleet{
		Root: root, Folder: folder, Machines: tolerated, Grace: grace, Record: record, firstStart: true,
		Zones: map[string]string{"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"},
		block: [2]int{64 + rand.IntN(128), 1 + rand.IntN(250)},
	}
	for range 50 {
		first := 20000 + 20*rand.IntN(500)
		f.Ports = Ports{
			Front: first, Ready: first + 1, Control: first + 2, Directory: first + 3, InternalFirst: first + 4, InternalLast: first + 19,
		}
		if f.areFree(first, first+19) {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// areFree reports whether a range of ports is free on the first addresses.
func (f *Fleet) areFree(first, last int) bool {
	for host := 1; host <= 20; host++ {
		for port := first; port <= last; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(host), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *Fleet) ip(host int) string { return fmt.Sprintf("127.%d.%d.%d", f.block[0], f.block[1], host) }

// NextIP returns a loopback address that no machine has.
func (f *Fleet) NextIP() string {
	f.nextHost++
	return f.ip(f.nextHost)
}

// Add adds a machine that is not running. The role is entry or control.
func (f *Fleet) Add(name, zone, role string) *Machine {
	m := &Machine{Name: name, IP: f.NextIP(), Zone: zone, Role: role, fleet: f}
	f.mutex.Lock()
	f.machines = append(f.machines, m)
	f.mutex.Unlock()
	return m
}

// SetSeeds sets the control machines that settings name from now on.
func (f *Fleet) SetSeeds(list ...*Machine) {
	f.seeds = nil
	for _, m := range list {
		f.seeds = append(f.seeds, fmt.Sprintf("%q", m.ControlAddress()))
	}
}

// EndFirstStart makes settings say from now on that the system does not start for
// the first time.
func (f *Fleet) EndFirstStart() { f.firstStart = false }

// ControlAddress returns the address of the operator's API.
func (m *Machine) ControlAddress() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.Ports.Control) }

// FrontAddress returns the address for clients.
func (m *Machine) FrontAddress() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.Ports.Front) }

func (m *Machine) folder() string       { return filepath.Join(m.fleet.Folder, m.Name) }
func (m *Machine) settingsFile() string { return filepath.Join(m.folder(), "local.toml") }
func (m *Machine) dataFolder() string   { return filepath.Join(m.folder(), "data") }

// WriteSettings writes the settings file with the present seeds.
func (m *Machine) WriteSettings() error {
	if err := os.MkdirAll(m.dataFolder(), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", m.Name, err)
	}
	if err := os.WriteFile(m.settingsFile(), []byte(m.settings()), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", m.Name, err)
	}
	return nil
}

func (m *Machine) settings() string {
	f := m.fleet
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("[Self]\nNodeName = %q\nRole = %q\nIp = %q\nZone = %q\nRegion = %q\nBootstrap = %t",
		m.Name, m.Role, m.IP, m.Zone, f.Zones[m.Zone], f.firstStart)
	listen := fmt.Sprintf("Front = %q\nReady = \"%s:%d\"\nDirectory = \"%s:%d\"",
		m.FrontAddress(), m.IP, f.Ports.Ready, m.IP, f.Ports.Directory)
	if m.Role == "control" {
		line("MachineClass = \"core\"\nServes = [\"control\",\"directory\"]\nCountsAsLoss = true\nDataDir = %q", m.dataFolder())
		line("[Self.Limits]\nCpuShare = 0.96\nCores = 1\nMemoryMb = 280\nMaxFds = 4096\nLinkMbps = 1000.0\nDiskMb = 256")
		listen = fmt.Sprintf("Control = %q\nDirectory = \"%s:%d\"", m.ControlAddress(), m.IP, f.Ports.Directory)
	} else {
		line("MachineClass = \"front\"\nServes = [\"front\",\"directory\"]\nCountsAsLoss = false")
		line("[Self.Limits]\nCpuShare = 0.32\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0")
	}
	line("[Network]\nInternalPorts = [%d,%d]\nSeeds = [%s]", f.Ports.InternalFirst, f.Ports.InternalLast, strings.Join(f.seeds, ","))
	line("[Network.Listen]\n%s\n[Network.Zones]", listen)
	for zone, region := range f.Zones {
		line("%s = %q", zone, region)
	}
	line("[Provider]\nDiscovery = \"cloud_api\"\nEntry = \"directory\"\nHeartbeatMs = 1500\nConfigMode = \"highest\"")
	line("[Provider.Cloud]\nAddress = %q\nRatePerS = 44.0\nDuties = []\nLagMs = 800", f.Platform)
	line("[Terms]\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"tenants\",\"quota\"]")
	line("[Terms.FaultTolerance]\nMachines = %d\nZones = 1\nRegions = 1", f.Machines)
	line("[Terms.Bounds]\nSeedLagS = 3\nReuseDelayS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 3000\nGraceS = %d", f.Grace)
	line("LossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\nMaxSkewMs = 5000\nStrictRevoke = false\nRevokeMs = 5000")
	line("RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetryBudgetSlack = 56\nQuotaWindowS = 5\nQuotaOverage = 0.1\nQuotaSlack = 20")
	line("ColdOverage = 1.5\nColdSlack = 5\nEvacuationMs = 5000\nRecoveryS = 15\nttl_max_s = 5\nMaxShift = 0.15")
	return b.String()
}

// Start writes the settings and starts the machine's process.
func (m *Machine) Start() error {
	if err := m.WriteSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", m.Name, err)
	}
	c := exec.Command("target/rhubarbrack", "platform-"+m.Role)
	c.Dir, c.Stdout, c.Stderr = m.fleet.Root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBRACK_CONFIG=" + m.settingsFile()}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.Name, err)
	}
	m.process, m.log, m.exited = c, log, make(chan struct{})
	m.fleet.Record.Printf("%s (%s, %s) is started, process %d", m.Name, m.Role, m.IP, c.Process.Pid)
	go func(c *exec.Cmd, exited chan struct{}) {
		err := c.Wait()
		m.fleet.Record.Printf("process %d of %s has ended: %v", c.Process.Pid, m.Name, err)
		_ = log.Close()
		close(exited)
	}(c, m.exited)
	return nil
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.fleet.Record.Printf("%s gets signal %q", m.Name, s)
	if err := m.process.Process.Signal(s); err != nil {
		m.fleet.Record.Printf("signal to %s: %v", m.Name, err)
	}
}

// IsRunning reports whether the machine's process runs.
func (m *Machine) IsRunning() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// Exited returns a channel that is closed when the process has ended.
func (m *Machine) Exited() <-chan struct{} { return m.exited }

// Kill kills the process and waits until it has ended.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.exited
}

// Stop sends SIGTERM and, after the time of grace, SIGKILL.
func (m *Machine) Stop() {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(time.Duration(m.fleet.Grace) * time.Second):
		m.Kill()
	}
}

// LoseDisk removes what the machine's disk holds. The process must have ended.
func (m *Machine) LoseDisk() error {
	m.fleet.Record.Printf("%s loses its disk", m.Name)
	if err := os.RemoveAll(m.dataFolder()); err != nil {
		return fmt.Errorf("disk of %s: %w", m.Name, err)
	}
	return nil
}

// Close ends all processes that the fleet has started and removes its folder,
// unless KEEP is set in the environment.
func (f *Fleet) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, m := range f.machines {
		if m.IsRunning() {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	} else {
		fmt.Println("kept:", f.Folder)
	}
}

// Sleep waits for a time or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Until calls a function every 100 ms until it returns true or a time has passed,
// and reports whether it returned true.
func Until(ctx context.Context, d time.Duration, f func() bool) bool {
	end := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(end) {
		if f() {
			return true
		}
		Sleep(ctx, 100*time.Millisecond)
	}
	return false
}
