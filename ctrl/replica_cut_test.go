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

// Guards against a leader that hears nobody and goes on, against replicas
// that stay apart after a silent cut has ended, and against the loss of
// acknowledged changes meanwhile.
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
			l := newLab(t)
			for _, h := range []ident.Host{"a", "b", "c"} {
				l.cuts[h] = &atomic.Bool{}
			}
			l.trio()
			old := l.leader()
			l.commit(old, "before", 10)
			name := old.replica.Host()
			for h, cut := range l.cuts {
				cut.Store(tc.cut(h, name))
			}
			if ended := <-l.ended; ended != name {
				t.Fatalf("the leadership of %s ended, want %s", ended, name)
			}
			for _, cut := range l.cuts {
				cut.Store(false)
			}
			l.commit(l.leader(), "after", 10)
			want := old.machine.wait(20)
			for h, p := range l.running {
				if got := p.machine.wait(20); !slices.Equal(got, want) {
					t.Errorf("host %s has %q, want %q", h, got, want)
				}
			}
		})
	}
}

// stalledFiles is the machine's file system with syncs that wait while the
// disk stalls.
type stalledFiles struct {
	store.FileSystem
	stall chan struct{}
}

type stalledFile struct {
	store.File
	files *stalledFiles
}

func (s *stalledFiles) Create(name string) (store.File, error) {
	f, err := s.FileSystem.Create(name)
	return stalledFile{File: f, files: s}, err
}

func (f stalledFile) Sync() error {
	f.files.stall <- struct{}{}
	<-f.files.stall
	return f.File.Sync()
}

// Guards against a replica task that waits for its disk, and against a
// leadership that ends because the disk of the leader stalls.
func TestStalledDisk(t *testing.T) {
	l := newLab(t)
	options := []ReplicaOption{WithInitialPeers(l.place("a", "b", "c")...)}
	files := &stalledFiles{FileSystem: store.OS(), stall: make(chan struct{}, 1)}
	for _, h := range []ident.Host{"a", "b", "c"} {
		list := options
		if h == "a" {
			list = append(list, WithFileSystem(files))
		}
		l.start(h, list...)
	}
	p := l.leader()
	for p.replica.Host() != "a" {
		if err := p.replica.TransferLeadership(context.Background(), "a"); err != nil {
			t.Fatal(err)
		}
		p = l.leader()
	}
	files.stall <- struct{}{}
	l.commit(p, "x", 20)
	s, err := p.replica.Status(context.Background())
	if err != nil || s.Role() != agree.Leader || s.CommitRevision() <= s.Members()[0].Match() {
		t.Errorf("status = %+v, %v; want a leader that committed more than its disk holds", s, err)
	}
	<-files.stall
	l.commit(p, "y", 20)
	p.machine.wait(40)
}

// Guards against a field of a message that is lost on the wire.
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

// Guards against a cluster that does not form when its hosts start at
// different times.
func TestFormation(t *testing.T) {
	cases := []struct {
		name   string
		before func(l *lab, options []ReplicaOption)
	}{
		{name: "a host starts late", before: func(*lab, []ReplicaOption) {}},
		{name: "a waiting host starts again", before: func(l *lab, options []ReplicaOption) {
			l.running["a"].stop()
			l.start("a", options...)
		}},
		{name: "a waiting host starts again without its disk", before: func(l *lab, options []ReplicaOption) {
			l.running["a"].stop()
			l.folders["a"] = l.t.TempDir()
			l.start("a", options...)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := newLab(t)
			options := []ReplicaOption{WithInitialPeers(l.place("a", "b", "c")...)}
			l.start("a", options...)
			l.start("b", options...)
			s, err := l.running["b"].replica.Status(context.Background())
			if err != nil || len(s.Members()) != 0 {
				t.Errorf("status = %+v, %v; want no members before every host has answered", s, err)
			}
			tc.before(l, options)
			l.start("c", options...)
			l.commit(l.leader(), "x", 5)
			for _, p := range l.running {
				p.machine.wait(5)
			}
		})
	}
}
