// Package reach decides which services an entry host cannot reach although it
// runs and is in contact with callers and other hosts, and through which other
// entry host a request is sent then. The evidence is the host's own: failed
// attempts, and responses of the targets.
package reach
