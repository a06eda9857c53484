package link

import "slices"

// maxRequests is the number of requests after which a connection is replaced. It
// bounds the memory for the IDs of its requests to 4 KiB.
const maxRequests = 512

// requestSet holds the hashes of the IDs of the requests that a connection has
// carried. Two IDs with the same hash only cost a new connection.
type requestSet struct{ hashes []uint64 }

func (s *requestSet) add(hash uint64) { s.hashes = append(s.hashes, hash) }

func (s *requestSet) contains(hash uint64) bool { return slices.Contains(s.hashes, hash) }

// len returns the number of requests, in the range [0, maxRequests].
func (s *requestSet) len() int { return len(s.hashes) }

func (s *requestSet) isFull() bool { return len(s.hashes) >= maxRequests }
