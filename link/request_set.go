package link

import (
	"hash/maphash"
	"slices"

	"rhubarbrack/ident"
)

// maxRequests is the number of requests after which a connection is replaced. It
// bounds the memory for the IDs of its requests to 4 KiB.
const maxRequests = 512

// requestSet holds the IDs of the requests that a connection has carried, as
// hashes. Two IDs with the same hash only cost a new connection.
type requestSet struct {
	seed   maphash.Seed
	hashes []uint64
}

func (s *requestSet) add(id ident.RequestID) { s.hashes = append(s.hashes, s.hash(id)) }

func (s *requestSet) contains(id ident.RequestID) bool { return slices.Contains(s.hashes, s.hash(id)) }

// len returns the number of requests, in the range [0, maxRequests].
func (s *requestSet) len() int { return len(s.hashes) }

func (s *requestSet) isFull() bool { return len(s.hashes) >= maxRequests }

func (s *requestSet) hash(id ident.RequestID) uint64 { return maphash.String(s.seed, string(id)) }
