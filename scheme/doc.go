// Package scheme holds a whole configuration of the system: the routes that
// callers may use, the teams with their keys and rates, the services behind
// the routes and the limits of the callers' connections.
//
// A Config is immutable and valid: New refuses what contradicts itself. It is
// replaced as a whole, and the greatest version wins, see Ledger.
package scheme
