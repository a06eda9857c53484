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

// brokenFiles is the machine's file system with syncs that fail on request.
type brokenFiles struct {
	store.FileSystem
	broken atomic.Bool
}

type brokenFile struct {
	store.File
	files *brokenFiles
}

func (b *brokenFiles) Create(name string) (store.File, error) {
	f, err := b.FileSystem.Create(name)
	return brokenFile{File: f, files: b}, err
}

func (f brokenFile) Sync() error {
	if f.files.broken.Load() {
		return errMedia
	}
	return f.File.Sync()
}

// Guards against a replica that acknowledges a change after its disk has
// failed, or that ends without naming file and offset.
func TestDiskFailure(t *testing.T) {
	l := newLab(t)
	files := &brokenFiles{FileSystem: store.OS()}
	p := l.start("a", WithInitialPeers(l.place("a")...), WithFileSystem(files))
	<-l.began
	l.commit(p, "x", 3)
	files.broken.Store(true)
	if _, _, err := p.replica.Propose(context.Background(), []byte("lost")); !errors.Is(err, ErrUnknown) {
		t.Errorf("Propose error = %v, want ErrUnknown", err)
	}
	<-p.replica.Done()
	<-l.ended
	var failed *store.IOError
	err := p.replica.Err()
	if !errors.As(err, &failed) || failed.File() != filepath.Join(l.folders["a"], "log") || failed.Offset() == 0 {
		t.Errorf("Err = %v, want file and offset", err)
	}
}

// Guards against a host that has lost its disk and votes under its old name.
func TestLostDisk(t *testing.T) {
	cases := []struct {
		name string
		act  func(l *lab, leader *process, lost ident.Host, options []ReplicaOption) error
	}{
		{name: "the host forms the cluster again", act: func(l *lab, _ *process, lost ident.Host, options []ReplicaOption) error {
			p := l.start(lost, options...)
			<-p.replica.Done()
			return p.replica.Err()
		}},
		{name: "the host is added under its old name", act: func(l *lab, p *process, lost ident.Host, options []ReplicaOption) error {
			l.start(lost, options[:len(options)-1]...)
			return p.replica.AddMember(context.Background(), lost, l.addresses[lost])
		}},
		{name: "another host answers at the address", act: func(l *lab, p *process, lost ident.Host, options []ReplicaOption) error {
			l.start(lost, options[:len(options)-1]...)
			return p.replica.AddMember(context.Background(), "d", l.addresses[lost])
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, options := trio(t)
			leader := l.leader()
			l.commit(leader, "x", 5)
			lost := ident.Host("a")
			if leader.replica.Host() == lost {
				lost = "b"
			}
			l.running[lost].stop()
			if err := os.RemoveAll(l.folders[lost]); err != nil {
				t.Fatal(err)
			}
			if err := tc.act(l, leader, lost, options); !errors.Is(err, ErrIdentityMismatch) {
				t.Errorf("error = %v, want ErrIdentity", err)
			}
		})
	}
}

// BenchmarkCommit measures a commit on three replicas on loopback with real
// files and syncs, for one caller and for many at once, without and with the
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
			l := newLab(b)
			l.delay = bc.delay
			l.trio()
			p := l.leader()
			data := make([]byte, 256)
			repeat(b, bc.callers, func() error {
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
			l, _ := trio(b)
			p := l.leader()
			repeat(b, bc.callers, func() error {
				_, err := p.replica.Barrier(context.Background())
				return err
			})
		})
	}
}

// repeat does a call b.N times in all from a number of concurrent callers and
// reports the mean time that a caller waits.
func repeat(b *testing.B, callers int, call func() error) {
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
