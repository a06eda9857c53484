package once

import (
	"fmt"

	"rhubarbrack/ident"
)

// MismatchError tells that a request id was used before for a different
// request.
type MismatchError struct {
	key Key
}

// Key returns the key of the earlier claim.
func (e *MismatchError) Key() Key { return e.key }

// Error names the team and the request id.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("request id %q of team %q was used for a different request", e.key.request, e.key.team)
}

// FullError tells that the table has no room for another claim.
type FullError struct {
	team  ident.Option[ident.Team]
	unit  string
	limit int64
}

// Team returns the team whose share is used up; it is absent when the whole
// table is full.
func (e *FullError) Team() ident.Option[ident.Team] { return e.team }

// Unit returns "records" or "bytes".
func (e *FullError) Unit() string { return e.unit }

// Limit returns the exhausted limit.
func (e *FullError) Limit() int64 { return e.limit }

// Error names the limit.
func (e *FullError) Error() string {
	if team, ok := e.team.Get(); ok {
		return fmt.Sprintf("claims of team %q are at their limit of %d %s", team, e.limit, e.unit)
	}
	return fmt.Sprintf("claims are at their limit of %d %s", e.limit, e.unit)
}

// NotHeldError tells that a claim cannot be resolved, because it does not
// exist, has another holder or has been resolved.
type NotHeldError struct {
	key    Key
	holder Holder
}

// Key returns the key of the claim.
func (e *NotHeldError) Key() Key { return e.key }

// Error names the claim and the process that tried to resolve it.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("request id %q of team %q is not claimed by %s/%d",
		e.key.request, e.key.team, e.holder.host, e.holder.incarnation)
}
