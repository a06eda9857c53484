// Package load is an open-loop load generator. Requests arrive by a seeded
// schedule, whether or not earlier ones have received a response, and the latency of
// a request is measured from its scheduled arrival. A slow system therefore
// cannot hide its queue by slowing down the generator.
//
// Run looks up the hosts to use at one entry host, caches the response and
// distributes the requests of several teams over these hosts. A request whose
// response was lost is resent with the same Idempotency-Key. Run returns a
// Report. A stream of direct calls to targets can run alongside for
// comparison.
//
// A refusal by rate is wrongful when the team's offered requests conform to
// its rate and burst. Each offered request, including a refused one, is
// charged to a token bucket in the generator whose level may fall to minus the
// burst; the refusal is wrongful when the level is not negative after the
// charge. A team that exceeds its rate thus has no wrongful refusals until it
// has stayed below its rate for a while. The system's own bucket sees the
// requests after a varying delay, so a refusal of a request that conforms by
// less than the tolerated variation is reported as disputed instead.
package load
