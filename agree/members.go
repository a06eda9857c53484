package agree

import (
	"cmp"
	"slices"

	"rhubarbrack/ident"
)

// Member is a host of the cluster. A voter counts for majorities; a learner
// only receives the log.
type Member struct {
	host    ident.Host
	address string
	diskID  DiskID
	voter   bool
}

// NewMember returns a member. The address is stored for the caller; this
// package does not interpret it.
func NewMember(host ident.Host, address string, disk DiskID, voter bool) Member {
	return Member{host: host, address: address, diskID: disk, voter: voter}
}

// Host returns the name of the member.
func (m Member) Host() ident.Host { return m.host }

// Address returns the network address of the member.
func (m Member) Address() string { return m.address }

// DiskID returns the identity of the member's disk.
func (m Member) DiskID() DiskID { return m.diskID }

// IsVoter reports whether the member counts for majorities.
func (m Member) IsVoter() bool { return m.voter }

// Members is an immutable set of members, ordered by host.
type Members struct {
	list []Member
}

// NewMembers returns a membership. A later member replaces an earlier one with
// the same host.
func NewMembers(list ...Member) Members {
	var m Members
	for _, member := range list {
		m = m.With(member)
	}
	return m
}

// List returns the members in ascending order of hosts.
func (m Members) List() []Member { return slices.Clone(m.list) }

// Equal reports whether both memberships hold the same members.
func (m Members) Equal(other Members) bool { return slices.Equal(m.list, other.list) }

// Len returns the number of members.
func (m Members) Len() int { return len(m.list) }

// Find returns the member with the given host name.
func (m Members) Find(host ident.Host) (Member, bool) {
	i, ok := m.search(host)
	if !ok {
		return Member{}, false
	}
	return m.list[i], true
}

// IsVoter reports whether the host is a voter.
func (m Members) IsVoter(host ident.Host) bool {
	member, ok := m.Find(host)
	return ok && member.voter
}

// Voters returns the number of voters.
func (m Members) Voters() int {
	n := 0
	for _, member := range m.list {
		if member.voter {
			n++
		}
	}
	return n
}

// With returns the membership with the member added or replaced.
func (m Members) With(member Member) Members {
	list := slices.Clone(m.list)
	i, ok := m.search(member.host)
	if ok {
		list[i] = member
	} else {
		list = slices.Insert(list, i, member)
	}
	return Members{list: list}
}

// Without returns the membership without the host.
func (m Members) Without(host ident.Host) Members {
	i, ok := m.search(host)
	if !ok {
		return m
	}
	return Members{list: slices.Delete(slices.Clone(m.list), i, i+1)}
}

func (m Members) search(host ident.Host) (int, bool) {
	return slices.BinarySearchFunc(m.list, host, func(e Member, h ident.Host) int {
		return cmp.Compare(e.host, h)
	})
}

// hasMajority reports whether more than half of the voters satisfy the
// condition.
func (m Members) hasMajority(condition func(ident.Host) bool) bool {
	yes, voters := 0, 0
	for _, member := range m.list {
		if !member.voter {
			continue
		}
		voters++
		if condition(member.host) {
			yes++
		}
	}
	return 2*yes > voters
}
