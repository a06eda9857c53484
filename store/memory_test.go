package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

var (
	errPowerLoss = errors.New("power lost")
	errMedia     = errors.New("input/output error")
)

// change is a change of a file that was not synced: data that was written at an
// offset, or a truncation to that offset if there is no data.
type change struct {
	offset int
	data   []byte
}

func (c change) applyTo(content []byte) []byte {
	if c.data == nil {
		return content[:min(c.offset, len(content))]
	}
	// A missing write before this one leaves zeros.
	for len(content) < c.offset+len(c.data) {
		content = append(content, 0)
	}
	copy(content[c.offset:], c.data)
	return content
}

// inode is a file of a memoryFileSystem. Only the synced content is sure to
// survive a loss of power; unsynced holds the later changes. A failed sync drops
// these: processes still read them, but no later sync covers them.
type inode struct {
	content, synced []byte
	unsynced        []change
}

func (n *inode) add(c change) {
	n.content = c.applyTo(slices.Clone(n.content))
	n.unsynced = append(n.unsynced, c)
}

// losePower keeps, drops or tears each change that was not synced.
func (n *inode) losePower(random *rand.Rand) {
	content, dropAll := slices.Clone(n.synced), random.IntN(4) == 0
	for _, c := range n.unsynced {
		switch kept := random.IntN(3); {
		case dropAll || kept == 0:
		case kept == 1 && len(c.data) > 0:
			content = change{offset: c.offset, data: slices.Clone(c.data[:random.IntN(len(c.data))])}.applyTo(content)
		default:
			content = c.applyTo(content)
		}
	}
	n.content, n.synced, n.unsynced = content, slices.Clone(content), nil
}

// memoryFileSystem is a file system in memory. It simulates a loss of power after
// a number of operations, and syncs that fail on request. names holds the
// directory entries that a process sees, and durable those that are sure to
// survive a loss of power.
type memoryFileSystem struct {
	names          map[string]*inode
	durable        map[string]*inode
	operationsLeft int
	failSyncs      bool
}

func newMemoryFileSystem() *memoryFileSystem {
	return &memoryFileSystem{names: map[string]*inode{}, durable: map[string]*inode{}, operationsLeft: -1}
}

// useOperation counts an operation and reports whether it precedes the failure.
func (m *memoryFileSystem) useOperation() bool {
	if m.operationsLeft > 0 {
		m.operationsLeft--
	}
	return m.operationsLeft != 0
}

// kill ends the process: what it has written remains as it is.
func (m *memoryFileSystem) kill() { m.operationsLeft = -1 }

// losePower keeps or loses each change that was not synced: data, and directory
// entries that were added, replaced or removed.
func (m *memoryFileSystem) losePower(random *rand.Rand) {
	m.operationsLeft = -1
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		if old, ok := m.durable[name]; m.names[name] != old && random.IntN(2) == 0 {
			if m.names[name] = old; !ok {
				delete(m.names, name)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		if _, ok := m.names[name]; !ok && random.IntN(2) == 0 {
			m.names[name] = m.durable[name]
		}
	}
	m.durable = maps.Clone(m.names)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		m.names[name].losePower(random)
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
	return &memoryFile{files: m, inode: m.names[name]}, nil
}

func (m *memoryFileSystem) OpenAt(name string, offset int64) (File, error) {
	return &memoryFile{files: m, inode: m.names[name], offset: int(offset)}, nil
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
	if m.failSyncs {
		return errMedia
	}
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *memoryFileSystem) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memoryFile struct {
	files  *memoryFileSystem
	inode  *inode
	offset int
}

func (f *memoryFile) Write(p []byte) (int, error) {
	n, err := len(p), error(nil)
	if !f.files.useOperation() {
		n, err = len(p)/2, errPowerLoss
	}
	if n > 0 {
		f.inode.add(change{offset: f.offset, data: slices.Clone(p[:n])})
		f.offset += n
	}
	return n, err
}

func (f *memoryFile) Truncate(size int64) error {
	if !f.files.useOperation() {
		return errPowerLoss
	}
	f.inode.add(change{offset: int(size)})
	return nil
}

func (f *memoryFile) Sync() error {
	if !f.files.useOperation() {
		return errPowerLoss
	}
	if f.files.failSyncs {
		f.inode.unsynced = nil
		return errMedia
	}
	for _, c := range f.inode.unsynced {
		f.inode.synced = c.applyTo(f.inode.synced)
	}
	f.inode.unsynced = nil
	return nil
}

func (f *memoryFile) Close() error { return nil }
