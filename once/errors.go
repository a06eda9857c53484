package once

import (
	"fmt"

	"rhubarbrack/ident"
)

// MismatchError reports that a request ID was already used for a different
// request.
type MismatchError struct {
	key Key
}

// Key returns the key of the earlier claim.
func (e *MismatchError) Key() Key { return e.key }

// Error returns a message with the team and the request ID.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("request id %q of team %q was used for a different request", e.key.request, e.key.team)
}

// FullError reports that a limit of the table leaves no capacity for a claim.
type FullError struct {
	team  ident.Option[ident.Team]
	unit  string
	limit int64
}

// Team returns the team that reached its limit. It is absent if the limit of
// the whole table was reached.
func (e *FullError) Team() ident.Option[ident.Team] { return e.team }

// Unit returns the unit of the limit, "records" or "bytes".
func (e *FullError) Unit() string { return e.unit }

// Limit returns the limit that was reached.
func (e *FullError) Limit() int64 { return e.limit }

// Error returns a message with the limit.
func (e *FullError) Error() string {
	if team, ok := e.team.Get(); ok {
		return fmt.Sprintf("claims of team %q are at their limit of %d %s", team, e.limit, e.unit)
	}
	return fmt.Sprintf("claims are at their limit of %d %s", e.limit, e.unit)
}

// NotHeldError reports that a claim cannot be resolved because it does not
// exist, belongs to another holder or is already resolved.
type NotHeldError struct {
	key    Key
	holder Holder
}

// Key returns the key of the claim.
func (e *NotHeldError) Key() Key { return e.key }

// Error returns a message with the claim and the process that tried to resolve
// it.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("request id %q of team %q is not claimed by %s/%d",
		e.key.request, e.key.team, e.holder.host, e.holder.incarnation)
}
