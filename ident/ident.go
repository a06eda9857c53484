package ident

import (
	"encoding/hex"
	"fmt"
	"regexp"
)

// Host names a machine that runs a control or an entry process.
type Host string

// Zone names an availability zone.
type Zone string

// Region names a region, a group of availability zones.
type Region string

// Team names a tenant whose keys, rates and claims are kept apart from those
// of other tenants.
type Team string

// Service names a service that targets offer.
type Service string

// Target names a process that answers requests of one service.
type Target string

// KeyID is the public part of a key. It may appear in logs.
type KeyID string

// RequestID names a request. Callers choose it for idempotency, entry hosts
// for tracing.
type RequestID string

// Class names a request class of a profile.
type Class string

// Revision is the position of a committed change in the replicated log. Zero
// stands for the empty state.
type Revision uint64

// Epoch numbers the successive assignments of one role. A greater epoch
// fences every smaller one.
type Epoch uint64

// Incarnation distinguishes the successive processes of one host.
type Incarnation uint64

// Fingerprint is a SHA-256 digest of a request's team, method, path and body.
type Fingerprint [32]byte

// String returns the first eight bytes in hexadecimal, enough for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// maxNameLength is the longest name, in bytes, that CheckName accepts.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// CheckName returns an error unless name has 1 to 63 lower-case letters,
// digits, dots and hyphens, and starts and ends with a letter or a digit.
// The kind, such as "team", is named in the error.
func CheckName(kind, name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("%s name %q: want 1 to %d lower-case letters, digits, dots and inner hyphens",
			kind, name, maxNameLength)
	}
	return nil
}
