package ident

import (
	"cmp"
	"slices"
)

// Set is a set of comparable values. The zero value is empty and read-only;
// NewSet returns one that accepts additions.
type Set[T cmp.Ordered] struct {
	members map[T]struct{}
}

// NewSet returns a set of the given members.
func NewSet[T cmp.Ordered](members ...T) Set[T] {
	s := Set[T]{members: make(map[T]struct{}, len(members))}
	for _, m := range members {
		s.members[m] = struct{}{}
	}
	return s
}

// Add inserts a member. The set must come from NewSet.
func (s Set[T]) Add(member T) { s.members[member] = struct{}{} }

// Remove deletes a member, if present.
func (s Set[T]) Remove(member T) { delete(s.members, member) }

// Has reports whether the set holds the member.
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
