// Package stand provides stand-ins of the external systems for tests: Target
// simulates a target with a fixed number of slots and seeded service times, and
// Platform serves the platform's list of targets with a configurable delay. Both
// listen on a loopback port and run in the process of the test, or in a separate
// process by the subcommand of NewCommand.
//
// A Target records every request that it ran, with header and idempotency key,
// so that a test can check that no request ran twice and that no API key was
// forwarded.
package stand
