package ident

import (
	"cmp"
	"slices"
)

// Set is a set of ordered values. The zero Set is empty and read-only. Use
// NewSet to create a set that can be modified.
type Set[T cmp.Ordered] struct {
	members map[T]struct{}
}

// NewSet returns a set with the given members.
func NewSet[T cmp.Ordered](members ...T) Set[T] {
	s := Set[T]{members: make(map[T]struct{}, len(members))}
	for _, m := range members {
		s.members[m] = struct{}{}
	}
	return s
}

// Add adds a member. The set must have been created by NewSet.
func (s Set[T]) Add(member T) { s.members[member] = struct{}{} }

// Remove removes a member, if present.
func (s Set[T]) Remove(member T) { delete(s.members, member) }

// Has reports whether the set contains the member.
func (s Set[T]) Has(member T) bool {
	_, ok := s.members[member]
	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int { return len(s.members) }

// Sorted returns the members in ascending order.
func (s Set[T]) Sorted() []T {
	out := make([]T, 0, len(s.members))
	for m := range s.members {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}
