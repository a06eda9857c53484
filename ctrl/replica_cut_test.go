package ctrl

import (
	"bytes"
	"context"
	"encoding/gob"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"

	"rhubarbrack/agree"
	"rhubarbrack/ident"
	"rhubarbrack/store"
)

// Guards against a leader that does not step down when it receives no messages,
// against replicas that do not reconnect after connections that drop data
// silently, and against the loss of acknowledged commands.
func TestSilentCut(t *testing.T) {
	cases := []struct {
		name string
		cut  func(host, leader ident.Host) bool
	}{
		{name: "nothing reaches the leader", cut: func(host, leader ident.Host) bool { return host == leader }},
		{name: "only the leader is reached", cut: func(host, leader ident.Host) bool { return host != leader }},
		{name: "nobody is reached", cut: func(ident.Host, ident.Host) bool { return true }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cluster := newTestCluster(t)
			for _, h := range []ident.Host{"a", "b", "c"} {
				cluster.cuts[h] = &atomic.Bool{}
			}
			cluster.startThree()
			old := cluster.waitForLeader()
			cluster.commitCommands(old, "before", 10)
			name := old.replica.Host()
			for h, cut := range cluster.cuts {
				cut.Store(tc.cut(h, name))
			}
			if ended := <-cluster.ended; ended != name {
				t.Fatalf("the leadership of %s ended, want %s", ended, name)
			}
			for _, cut := range cluster.cuts {
				cut.Store(false)
			}
			cluster.commitCommands(cluster.waitForLeader(), "after", 10)
			want := old.machine.waitFor(20)
			for h, p := range cluster.running {
				if got := p.machine.waitFor(20); !slices.Equal(got, want) {
					t.Errorf("host %s has %q, want %q", h, got, want)
				}
			}
		})
	}
}

// stallingFileSystem is the file system of the machine with syncs that block
// while the disk stalls.
type stallingFileSystem struct {
	store.FileSystem
	stall chan struct{}
}

type stallingFile struct {
	store.File
	files *stallingFileSystem
}

func (s *stallingFileSystem) Create(name string) (store.File, error) {
	f, err := s.FileSystem.Create(name)
	return stallingFile{File: f, files: s}, err
}

func (f stallingFile) Sync() error {
	f.files.stall <- struct{}{}
	<-f.files.stall
	return f.File.Sync()
}

// Guards against a replica task that blocks on its disk, and against the end of a
// leadership because the disk of the leader stalls.
func TestStalledDisk(t *testing.T) {
	cluster := newTestCluster(t)
	options := []ReplicaOption{WithInitialPeers(cluster.allocate("a", "b", "c")...)}
	files := &stallingFileSystem{FileSystem: store.OS(), stall: make(chan struct{}, 1)}
	for _, h := range []ident.Host{"a", "b", "c"} {
		list := options
		if h == "a" {
			list = append(list, WithFileSystem(files))
		}
		cluster.start(h, list...)
	}
	p := cluster.waitForLeader()
	for p.replica.Host() != "a" {
		if err := p.replica.TransferLeadership(context.Background(), "a"); err != nil {
			t.Fatal(err)
		}
		p = cluster.waitForLeader()
	}
	files.stall <- struct{}{}
	cluster.commitCommands(p, "x", 20)
	s, err := p.replica.Status(context.Background())
	if err != nil || s.Role() != agree.Leader || s.CommitRevision() <= s.Members()[0].Match() {
		t.Errorf("status = %+v, %v; want a leader that committed more than its disk holds", s, err)
	}
	<-files.stall
	cluster.commitCommands(p, "y", 20)
	p.machine.waitFor(40)
}

// Guards against a message field that is lost in the encoding.
func TestMessageRecord(t *testing.T) {
	members := agree.NewMembers(agree.NewMember("a", "127.0.0.1:1", 7, true), agree.NewMember("b", "", 8, false))
	message := agree.NewMessage(agree.MessageAppend, 1, "a", "b", 2, 3).WithPosition(4, 5).WithProgress(6, 7, 8)
	cases := []struct {
		name    string
		message agree.Message
	}{
		{name: "fields", message: message},
		{name: "reject", message: message.WithFlags(true, false)},
		{name: "transfer", message: message.WithFlags(false, true)},
		{name: "entries", message: message.WithEntries([]agree.Entry{
			agree.NewEntry(5, 1, agree.EntryNoOp, nil), agree.NewEntry(6, 1, agree.EntryData, []byte("x")),
			agree.NewMembersEntry(7, 2, members),
		})},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var wire bytes.Buffer
			if err := gob.NewEncoder(&wire).Encode(fromMessage(tc.message)); err != nil {
				t.Fatal(err)
			}
			var record MessageRecord
			if err := gob.NewDecoder(&wire).Decode(&record); err != nil {
				t.Fatal(err)
			}
			if got := record.message(); !reflect.DeepEqual(got, tc.message) {
				t.Errorf("got %+v, want %+v", got, tc.message)
			}
		})
	}
}

// Guards against a cluster that is not bootstrapped if its hosts start at
// different times.
func TestFormation(t *testing.T) {
	cases := []struct {
		name   string
		before func(cluster *testCluster, options []ReplicaOption)
	}{
		{name: "a host starts late", before: func(*testCluster, []ReplicaOption) {}},
		{name: "a waiting host starts again", before: func(cluster *testCluster, options []ReplicaOption) {
			cluster.running["a"].stop()
			cluster.start("a", options...)
		}},
		{name: "a waiting host starts again without its disk", before: func(cluster *testCluster, options []ReplicaOption) {
			cluster.running["a"].stop()
			cluster.directories["a"] = cluster.t.TempDir()
			cluster.start("a", options...)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cluster := newTestCluster(t)
			options := []ReplicaOption{WithInitialPeers(cluster.allocate("a", "b", "c")...)}
			cluster.start("a", options...)
			cluster.start("b", options...)
			s, err := cluster.running["b"].replica.Status(context.Background())
			if err != nil || len(s.Members()) != 0 {
				t.Errorf("status = %+v, %v; want no members before every host has responded", s, err)
			}
			tc.before(cluster, options)
			cluster.start("c", options...)
			cluster.commitCommands(cluster.waitForLeader(), "x", 5)
			for _, p := range cluster.running {
				p.machine.waitFor(5)
			}
		})
	}
}
