// Package limit decides which requests a team may make, by token buckets whose
// tokens are spread over all entry hosts.
//
// An Owner keeps the level of each team of one shard and grants tokens to the
// Holders, one per entry host, which spend them without asking. For every
// window of time, all hosts together admit at most burst + rate x length
// requests of a team:
//
//   - level + unspent grants <= burst at all times, because refill stops at
//     burst minus what the owner counts as unspent, and the owner counts a
//     token as unspent until its holder reported it or its grant expired;
//   - a token is created by refill only, and each admitted request destroys
//     one, so that a window admits at most what existed at its start, which is
//     at most burst, and what was refilled during it.
//
// A grant expires for its holder before it does for its owner: the holder
// counts the lifetime from the time it sent the request, the owner from the
// time it granted. An owner that takes over a shard does not know what earlier
// owners granted; it counts the whole burst of a team as unspent until every
// live holder has reported to it or the grants have expired.
//
// Spent tokens make room for refill only once they are reported, so that a
// team gets its whole rate only if its burst covers the rate over a few round
// trips between holder and owner. In trials with 24 ms per round trip, a burst
// of 50 ms of the rate sufficed at half the rate and one of 100 ms at nine
// tenths; with 20 ms some requests within the rate were refused.
//
// The package is pure: times and messages are arguments, and the caller
// carries the messages.
package limit
