package state

import (
	"fmt"
	"time"

	"rhubarbrack/ident"
)

const (
	// maxKeys bounds the number of retained keys, including withdrawn ones.
	maxKeys = 50_000
	// withdrawnRetention is how long a withdrawn key is retained. Meanwhile
	// callers that use it get the reason for the refusal, and its ID cannot be
	// issued again.
	withdrawnRetention = 30 * 24 * time.Hour
)

// IssueKey adds a key of a team.
type IssueKey struct {
	operatorBase
	id   ident.KeyID
	team ident.Team
	hash [32]byte
}

var _ configCommand = IssueKey{}

// NewIssueKey returns a command that issues a key with the SHA-256 digest of
// its secret. No retained key may have the same ID.
func NewIssueKey(request ident.RequestID, id ident.KeyID, team ident.Team, hash [32]byte) IssueKey {
	return IssueKey{operatorBase: operatorBase{request: request}, id: id, team: team, hash: hash}
}

// Kind returns "issue-key".
func (i IssueKey) Kind() string { return "issue-key" }

// ID returns the public part of the key.
func (i IssueKey) ID() ident.KeyID { return i.id }

// Team returns the team that owns the key.
func (i IssueKey) Team() ident.Team { return i.team }

// Hash returns the SHA-256 digest of the key.
func (i IssueKey) Hash() [32]byte { return i.hash }

func (i IssueKey) stamp(at time.Time) Command { i.at = at; return i }

func (i IssueKey) canonicalText() string { return fmt.Sprintf("%s %s %x", i.id, i.team, i.hash) }

func (i IssueKey) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	if ident.CheckName("key", string(i.id)) != nil {
		return c, refuse(ReasonInvalid, "key id %q: want 1 to 63 lower-case letters, digits, dots and inner hyphens", i.id)
	}
	old, _ := c.keys.get(i.id)
	if conflict, ok := i.checkExpected(old.revision, ""); !ok {
		return c, conflict
	}
	if _, ok := c.Team(i.team); !ok {
		return c, refuse(ReasonUnknownTeam, "there is no team %q", i.team)
	}
	next := *c
	next.keys = pruneKeys(c.keys, i.at)
	if next.keys.len() >= maxKeys {
		return c, refuse(ReasonTooMany, "there are %d keys already", maxKeys)
	}
	next.keys = next.keys.set(i.id, Key{id: i.id, team: i.team, hash: i.hash, revision: revision})
	return &next, accept(true)
}

// pruneKeys returns the keys without those whose retention time after the
// withdrawal is over.
func pruneKeys(keys tree[ident.KeyID, Key], at time.Time) tree[ident.KeyID, Key] {
	out := keys
	keys.each(func(id ident.KeyID, k Key) bool {
		if !k.Valid() && at.Sub(k.withdrawn) >= withdrawnRetention {
			out = out.remove(id)
		}
		return true
	})
	return out
}

// WithdrawKey revokes a key.
type WithdrawKey struct {
	operatorBase
	id ident.KeyID
}

var _ configCommand = WithdrawKey{}

// NewWithdrawKey returns a command that withdraws a key. The expected revision
// is that of the key, or AnyRevision. Withdrawing a withdrawn key is accepted
// and changes nothing.
func NewWithdrawKey(request ident.RequestID, expected ident.Revision, id ident.KeyID) WithdrawKey {
	return WithdrawKey{operatorBase: operatorBase{request: request, expected: expected}, id: id}
}

// Kind returns "withdraw-key".
func (w WithdrawKey) Kind() string { return "withdraw-key" }

// ID returns the public part of the key.
func (w WithdrawKey) ID() ident.KeyID { return w.id }

func (w WithdrawKey) stamp(at time.Time) Command { w.at = at; return w }

func (w WithdrawKey) canonicalText() string { return string(w.id) }

func (w WithdrawKey) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	key, ok := c.keys.get(w.id)
	if !ok {
		return c, refuse(ReasonUnknownKey, "there is no key %q", w.id)
	}
	if !key.Valid() {
		return c, accept(false)
	}
	if conflict, ok := w.checkExpectedOrAny(key.revision); !ok {
		return c, conflict
	}
	key.withdrawn, key.revision = w.at, revision
	next := *c
	next.keys = c.keys.set(w.id, key)
	return &next, accept(true)
}
