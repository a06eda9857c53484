// Package limit limits the request rates of teams with token buckets whose
// tokens are leased to all entry hosts.
//
// An Owner holds the buckets of one shard of teams and grants tokens to the
// Holders, one per entry host, which spend them without a call. In every time
// window, all hosts together admit at most burst + rate x length requests of a
// team:
//
//   - level + unspent grants <= burst at all times, because refill stops at
//     burst minus what the owner counts as unspent, and the owner counts a
//     token as unspent until its holder reported it spent or its grant expired;
//   - only refill creates tokens, and each admitted request destroys one, so
//     that a window admits at most the tokens that existed at its start, which
//     are at most burst, and those refilled during it.
//
// A grant expires at its holder before it expires at its owner: the holder
// counts the lifetime from the time at which it sent the request, the owner
// from the time of the grant. An owner that takes over a shard does not know
// the grants of earlier owners; it counts the whole burst of a team as unspent
// until every live holder has reported or the grants have expired.
//
// Spent tokens are refilled only after they are reported, so that a team gets
// its whole rate only if its burst covers the rate over a few round trips
// between holder and owner. With 24 ms per round trip, a burst of 50 ms of the
// rate suffices for half the rate, and one of 100 ms for nine tenths of it; with
// a burst of 20 ms, some requests within the rate are refused.
//
// The package does no I/O: times and messages are arguments, and the caller
// transports the messages.
package limit
