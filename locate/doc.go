// Package locate answers which entry hosts a caller should use. A Table maps
// client blocks to availability zones by longest prefix match. A Directory
// holds the live entry hosts and selects, for a zone, the nearest ones.
//
// Both are immutable and built once per revision, so that a look-up costs no
// more than a match and a copy of a few entries.
package locate
