// Package quota counts events in sliding windows and enforces limits on them.
//
// Every limit of this package applies to all entry hosts together: each host
// enforces a share of it by itself, and the shares of all hosts add up to at
// most one. A share of a team's rate has a static part, which needs no
// communication, and a part that an Allocator leases to the host by demand. The
// rest of the rate is a reserve, from which the Allocator hands out single
// tokens.
package quota
