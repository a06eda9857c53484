package limit

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

// DefaultLifetime is how long a grant is valid. It is longer than the
// replacement of an owner after a lease of 3 s, so that holders keep admitting
// requests meanwhile.
const DefaultLifetime = 5 * time.Second

// ErrInvalid is returned for a limit that could never admit a request.
const ErrInvalid = errors.ConstError("invalid limit")

// Limit is the rate of a team in requests per second and its burst in
// requests.
type Limit struct {
	rate  float64
	burst float64
}

// New returns a limit. It returns ErrInvalid unless rate > 0 and burst >= 1.
func New(rate, burst float64) (Limit, error) {
	if !(rate > 0) || !(burst >= 1) || rate > maxValue || burst > maxValue {
		return Limit{}, fmt.Errorf("rate %v and burst %v: %w", rate, burst, ErrInvalid)
	}
	return Limit{rate: rate, burst: burst}, nil
}

// maxValue bounds rates and bursts, so that float64 represents levels to a
// thousandth.
const maxValue = 1e12

// Rate returns the refill in requests per second.
func (l Limit) Rate() float64 { return l.rate }

// Burst returns the greatest number of requests admitted at once.
func (l Limit) Burst() float64 { return l.burst }

// refill returns the tokens that accrue in d.
func (l Limit) refill(d time.Duration) float64 { return l.rate * d.Seconds() }

// refillTime returns the time in which the given tokens accrue, at least
// minRetryAfter.
func (l Limit) refillTime(tokens float64) time.Duration {
	return max(time.Duration(tokens/l.rate*float64(time.Second)), minRetryAfter)
}

// minRetryAfter keeps callers from retrying in a tight loop.
const minRetryAfter = time.Millisecond

// Shard returns the shard, from 0 to shards-1, that a team belongs to.
func Shard(t ident.Team, shards int) int {
	if shards <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(t))
	return int(h.Sum32() % uint32(shards))
}

// HolderID identifies the process of an entry host that holds tokens.
type HolderID struct {
	host        ident.Host
	incarnation ident.Incarnation
}

// NewHolderID returns the identifier of a process of a host.
func NewHolderID(h ident.Host, i ident.Incarnation) HolderID {
	return HolderID{host: h, incarnation: i}
}

// Host returns the host of the process.
func (h HolderID) Host() ident.Host { return h.host }

// Incarnation returns the incarnation of the process.
func (h HolderID) Incarnation() ident.Incarnation { return h.incarnation }

// Reason says why a request is not admitted.
type Reason string

const (
	// ReasonRate means that the team has used its rate and burst.
	ReasonRate Reason = "rate-exceeded"
	// ReasonUnknownTeam means that no limit is set for the team.
	ReasonUnknownTeam Reason = "team-unknown"
	// ReasonNoOwner means that no owner responded within the maximum wait.
	ReasonNoOwner Reason = "rate-owner-unavailable"
	// ReasonQueueFull means that too many requests wait for tokens.
	ReasonQueueFull Reason = "rate-queue-full"
	// ReasonStale means that the host's view of the configuration is too old.
	ReasonStale Reason = "view-stale"
	// ReasonStopping means that the host is stopping and hands its tokens
	// back.
	ReasonStopping Reason = "host-stopping"
)

// Status is the kind of an owner's response.
type Status string

const (
	// Granted carries tokens, possibly fewer than requested.
	Granted Status = "granted"
	// Refused means that no tokens are left. The lifetime of the tokens that
	// the holder reported is renewed, as with Granted.
	Refused Status = "refused"
	// Recovering means that the owner still collects reports of the grants of
	// earlier epochs.
	Recovering Status = "recovering"
	// LimitMismatch means that the owner and the holder have different limits,
	// because one of them has not applied the latest change yet.
	LimitMismatch Status = "behind"
	// NotOwner means that the host does not own the shard in the epoch of the
	// request.
	NotOwner Status = "not-owner"
	// Outdated means that the owner has already seen this or a later request
	// or report of the holder.
	Outdated Status = "outdated"
)
