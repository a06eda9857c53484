// Package scheme holds a complete configuration of the system: the routes that
// callers may use, the teams with their keys and rates, the services behind
// the routes, and the limits on callers' connections.
//
// A Config is immutable and valid: New rejects inconsistent ones. It is
// replaced as a whole, and the greatest version wins, see DesiredState.
package scheme
