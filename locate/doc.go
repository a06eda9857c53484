// Package locate selects the entry hosts that a caller should use. A Table
// maps client addresses to availability zones by longest prefix match. A
// Directory holds the live entry hosts and selects the nearest ones for a
// zone.
//
// Both types are immutable and built once per revision. A lookup only matches
// the address and selects one of the precomputed results.
package locate
