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
	errPower = errors.New("power lost")
	errMedia = errors.New("input/output error")
)

// inode is a file of memoryFiles. Only what was synced survives a crash for
// certain.
type inode struct{ content, synced []byte }

// memoryFiles is a file system in memory. The power fails after a number of
// operations, and syncs fail on request.
type memoryFiles struct {
	names     map[string]*inode
	durable   map[string]*inode
	budget    int
	failSyncs bool
}

func newMemoryFiles() *memoryFiles {
	return &memoryFiles{names: map[string]*inode{}, durable: map[string]*inode{}, budget: -1}
}

// spend counts an operation and reports whether the power is still on.
func (m *memoryFiles) spend() bool {
	if m.budget > 0 {
		m.budget--
	}
	return m.budget != 0
}

// crash loses what was not synced, except for the first bytes of it.
func (m *memoryFiles) crash(torn int) {
	m.names, m.budget = maps.Clone(m.durable), -1
	for _, n := range m.names {
		kept := n.synced
		if len(n.content) > len(kept) && string(n.content[:len(kept)]) == string(kept) {
			kept = n.content[:min(len(n.content), len(kept)+torn)]
		}
		n.content, n.synced = slices.Clone(kept), slices.Clone(kept)
	}
}

func (m *memoryFiles) MakeDirectory(string) error { return nil }

func (m *memoryFiles) ReadFile(name string) ([]byte, error) {
	n, ok := m.names[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(n.content), nil
}

func (m *memoryFiles) Create(name string) (File, error) {
	if !m.spend() {
		return nil, errPower
	}
	m.names[name] = &inode{}
	return memoryFile{files: m, inode: m.names[name]}, nil
}

func (m *memoryFiles) OpenAppend(name string) (File, error) {
	return memoryFile{files: m, inode: m.names[name]}, nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if !m.spend() {
		return errPower
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memoryFiles) SyncDirectory(string) error {
	if !m.spend() {
		return errPower
	}
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *memoryFiles) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memoryFile struct {
	files *memoryFiles
	inode *inode
}

func (f memoryFile) Write(p []byte) (int, error) {
	if !f.files.spend() {
		f.inode.content = append(f.inode.content, p[:len(p)/2]...)
		return len(p) / 2, errPower
	}
	f.inode.content = append(f.inode.content, p...)
	return len(p), nil
}

func (f memoryFile) Truncate(size int64) error {
	f.inode.content = f.inode.content[:size]
	return nil
}

func (f memoryFile) Sync() error {
	if !f.files.spend() {
		return errPower
	}
	if f.files.failSyncs {
		return errMedia
	}
	f.inode.synced = slices.Clone(f.inode.content)
	return nil
}

func (f memoryFile) Close() error { return nil }
