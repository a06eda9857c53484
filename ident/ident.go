package ident

import (
	"encoding/hex"
	"fmt"
	"regexp"
)

// Host is the name of a machine that runs a control or an entry process.
type Host string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, which is a group of availability zones.
type Region string

// Team is the name of a tenant. Keys, rate limits and claims are separate for
// each tenant.
type Team string

// Service is the name of a service offered by targets.
type Service string

// Target is the name of a process that serves the requests of one service.
type Target string

// KeyID is the public part of a key. It is not secret and may be logged.
type KeyID string

// RequestID identifies a request. Callers choose it for idempotency, and entry
// hosts assign it for tracing.
type RequestID string

// Class is the name of a request class of a profile.
type Class string

// Revision is the position of a committed change in the replicated log. Zero
// is the revision of the empty state.
type Revision uint64

// Epoch numbers the successive assignments of a role. A greater epoch fences
// off holders with smaller ones.
type Epoch uint64

// Incarnation numbers the successive processes on a host.
type Incarnation uint64

// Fingerprint is a SHA-256 digest of a request's team, method, path and body.
type Fingerprint [32]byte

// String returns the first eight bytes in hexadecimal, which suffices for
// logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// CheckName returns an error unless a name consists of 1 to 63 lower-case
// letters, digits, dots and hyphens, and starts and ends with a letter or a
// digit. The kind of the name, such as "team", is part of the error message.
func CheckName(kind, name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("%s name %q: want 1 to %d lower-case letters, digits, dots and inner hyphens",
			kind, name, maxNameLength)
	}
	return nil
}
