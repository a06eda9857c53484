// Package load is an open-loop load generator for trials. Requests arrive by
// a seeded schedule, whether or not earlier ones have been answered, and the
// latency of a request counts from its scheduled arrival; a slow system
// therefore cannot hide its queue by slowing the generator.
//
// Run asks one entry host which hosts to use, caches and spreads over the
// answer, sends the requests of several teams, resends after lost answers
// with the same Idempotency-Key, and returns a Report. A stream of direct
// calls to targets can run beside them for comparison.
//
// A refusal by rate is wrongful when the team's offered requests conform to
// its rate and burst. Each offered request, also a refused one, is charged to
// a token bucket of the tool whose level may fall to minus the burst; the
// refusal is wrongful when the level is not negative after the charge. A team
// that exceeds its rate thus has no wrongful refusals until it has stayed
// below its rate for a while. The system's own bucket sees the requests after
// a delay that varies, so a refusal of a request that conforms by less than
// the tolerated variation is reported as disputed instead.
package load
