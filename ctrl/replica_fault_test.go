package ctrl

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/store"
)

var errMedia = errors.New("input/output error")

// failingFileSystem is the file system of the machine with syncs that fail on
// request.
type failingFileSystem struct {
	store.FileSystem
	failSyncs atomic.Bool
}

type failingFile struct {
	store.File
	files *failingFileSystem
}

func (s *failingFileSystem) Create(name string) (store.File, error) {
	f, err := s.FileSystem.Create(name)
	return failingFile{File: f, files: s}, err
}

func (f failingFile) Sync() error {
	if f.files.failSyncs.Load() {
		return errMedia
	}
	return f.File.Sync()
}

// Guards against a replica that acknowledges a command after its disk has failed,
// or whose error does not name the file and the offset.
func TestDiskFailure(t *testing.T) {
	cluster := newTestCluster(t)
	files := &failingFileSystem{FileSystem: store.OS()}
	p := cluster.start("a", WithInitialPeers(cluster.allocate("a")...), WithFileSystem(files))
	<-cluster.began
	cluster.commitCommands(p, "x", 3)
	files.failSyncs.Store(true)
	if _, _, err := p.replica.Propose(context.Background(), []byte("lost")); !errors.Is(err, ErrUnknown) {
		t.Errorf("Propose error = %v, want ErrUnknown", err)
	}
	<-p.replica.Done()
	<-cluster.ended
	var failed *store.IOError
	err := p.replica.Err()
	if !errors.As(err, &failed) || failed.File() != filepath.Join(cluster.directories["a"], "log") || failed.Offset() == 0 {
		t.Errorf("Err = %v, want file and offset", err)
	}
}

// Guards against a host that votes under its old name after it has lost its disk.
func TestLostDisk(t *testing.T) {
	cases := []struct {
		name string
		act  func(cluster *testCluster, leader *controlProcess, lost ident.Host, options []ReplicaOption) error
	}{
		{name: "the host bootstraps the cluster again", act: func(cluster *testCluster, _ *controlProcess, lost ident.Host, options []ReplicaOption) error {
			p := cluster.start(lost, options...)
			<-p.replica.Done()
			return p.replica.Err()
		}},
		{name: "the host is added under its old name", act: func(cluster *testCluster, p *controlProcess, lost ident.Host, options []ReplicaOption) error {
			cluster.start(lost, options[:len(options)-1]...)
			return p.replica.AddMember(context.Background(), lost, cluster.addresses[lost])
		}},
		{name: "another host responds at the address", act: func(cluster *testCluster, p *controlProcess, lost ident.Host, options []ReplicaOption) error {
			cluster.start(lost, options[:len(options)-1]...)
			return p.replica.AddMember(context.Background(), "d", cluster.addresses[lost])
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cluster, options := startThreeVoters(t)
			leader := cluster.waitForLeader()
			cluster.commitCommands(leader, "x", 5)
			lost := ident.Host("a")
			if leader.replica.Host() == lost {
				lost = "b"
			}
			cluster.running[lost].stop()
			if err := os.RemoveAll(cluster.directories[lost]); err != nil {
				t.Fatal(err)
			}
			if err := tc.act(cluster, leader, lost, options); !errors.Is(err, ErrIdentityMismatch) {
				t.Errorf("error = %v, want ErrIdentityMismatch", err)
			}
		})
	}
}

// BenchmarkCommit measures a commit on three replicas on loopback with real
// files and syncs, for one and for many concurrent callers, without and with the
// one-way delay between regions.
func BenchmarkCommit(b *testing.B) {
	cases := []struct {
		name    string
		callers int
		delay   time.Duration
	}{
		{name: "callers=1", callers: 1},
		{name: "callers=16", callers: 16},
		{name: "callers=256", callers: 256},
		{name: "callers=1/delay=12ms", callers: 1, delay: 12 * time.Millisecond},
		{name: "callers=16/delay=12ms", callers: 16, delay: 12 * time.Millisecond},
		{name: "callers=256/delay=12ms", callers: 256, delay: 12 * time.Millisecond},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			cluster := newTestCluster(b)
			cluster.delay = bc.delay
			cluster.startThree()
			p := cluster.waitForLeader()
			data := make([]byte, 256)
			runConcurrently(b, bc.callers, func() error {
				_, _, err := p.replica.Propose(context.Background(), data)
				return err
			})
		})
	}
}

// BenchmarkBarrier measures a read barrier on three replicas on loopback.
func BenchmarkBarrier(b *testing.B) {
	cases := []struct {
		name    string
		callers int
	}{
		{name: "callers=1", callers: 1},
		{name: "callers=256", callers: 256},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			cluster, _ := startThreeVoters(b)
			p := cluster.waitForLeader()
			runConcurrently(b, bc.callers, func() error {
				_, err := p.replica.Barrier(context.Background())
				return err
			})
		})
	}
}

// runConcurrently makes b.N calls in total from a number of concurrent callers
// and reports the mean duration of a call.
func runConcurrently(b *testing.B, callers int, call func() error) {
	b.ResetTimer()
	done := make(chan error, callers)
	var next, waited atomic.Int64
	for range callers {
		go func() {
			for next.Add(1) <= int64(b.N) {
				start := time.Now()
				if err := call(); err != nil {
					done <- err
					return
				}
				waited.Add(int64(time.Since(start)))
			}
			done <- nil
		}()
	}
	for range callers {
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
	b.ReportMetric(float64(waited.Load())/float64(b.N)/1e6, "ms/wait")
}
