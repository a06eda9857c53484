package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
)

var (
	errPowerLoss = errors.New("power lost")
	errMedia     = errors.New("input/output error")
)

// inode is a file of a memoryFileSystem. Only the synced content is sure to
// survive a crash.
type inode struct{ content, synced []byte }

// memoryFileSystem is a file system in memory. It simulates a power failure after
// a number of operations, and syncs that fail on request. durable holds the
// directory entries that survive a crash.
type memoryFileSystem struct {
	names          map[string]*inode
	durable        map[string]*inode
	operationsLeft int
	failSyncs      bool
}

func newMemoryFileSystem() *memoryFileSystem {
	return &memoryFileSystem{names: map[string]*inode{}, durable: map[string]*inode{}, operationsLeft: -1}
}

// useOperation counts an operation and reports whether it precedes the power
// failure.
func (m *memoryFileSystem) useOperation() bool {
	if m.operationsLeft > 0 {
		m.operationsLeft--
	}
	return m.operationsLeft != 0
}

// crash drops the content that was not synced, except for its first bytes, as
// many as given.
func (m *memoryFileSystem) crash(torn int) {
	m.names, m.operationsLeft = maps.Clone(m.durable), -1
	for _, n := range m.names {
		kept := n.synced
		if len(n.content) > len(kept) && string(n.content[:len(kept)]) == string(kept) {
			kept = n.content[:min(len(n.content), len(kept)+torn)]
		}
		n.content, n.synced = slices.Clone(kept), slices.Clone(kept)
	}
}

func (m *memoryFileSystem) MakeDirectory(string) error { return nil }

func (m *memoryFileSystem) ReadFile(name string) ([]byte, error) {
	n, ok := m.names[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(n.content), nil
}

func (m *memoryFileSystem) Create(name string) (File, error) {
	if !m.useOperation() {
		return nil, errPowerLoss
	}
	m.names[name] = &inode{}
	return memoryFile{files: m, inode: m.names[name]}, nil
}

func (m *memoryFileSystem) OpenAppend(name string) (File, error) {
	return memoryFile{files: m, inode: m.names[name]}, nil
}

func (m *memoryFileSystem) Rename(from, to string) error {
	if !m.useOperation() {
		return errPowerLoss
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memoryFileSystem) SyncDirectory(string) error {
	if !m.useOperation() {
		return errPowerLoss
	}
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *memoryFileSystem) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memoryFile struct {
	files *memoryFileSystem
	inode *inode
}

func (f memoryFile) Write(p []byte) (int, error) {
	if !f.files.useOperation() {
		f.inode.content = append(f.inode.content, p[:len(p)/2]...)
		return len(p) / 2, errPowerLoss
	}
	f.inode.content = append(f.inode.content, p...)
	return len(p), nil
}

func (f memoryFile) Truncate(size int64) error {
	f.inode.content = f.inode.content[:size]
	return nil
}

func (f memoryFile) Sync() error {
	if !f.files.useOperation() {
		return errPowerLoss
	}
	if f.files.failSyncs {
		return errMedia
	}
	f.inode.synced = slices.Clone(f.inode.content)
	return nil
}

func (f memoryFile) Close() error { return nil }
