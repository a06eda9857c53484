// Package stand holds stand-ins for trials: Target answers the requests of a
// service with a fixed number of slots and seeded service times, and Platform
// serves a lagging list of targets. Both run in the process on a loopback
// port, or in a process of their own by the subcommand of NewCommand.
//
// A Target records every request that it ran, with header and idempotency
// key, so that a trial can check that nothing ran twice and that no key was
// seen.
package stand
