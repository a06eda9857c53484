// Package certs builds mutual TLS settings, TLS 1.3 or later, from files with
// a certificate, its key and the certificates of the authority.
//
// A Source reads its files again when a handshake finds that the check
// interval has passed, so that new certificates take effect without a
// restart. Files that cannot be used leave the last good ones in force.
// Session tickets are off: each connection proves its certificate against the
// authority in force.
//
// NewAuthority makes a certificate authority in memory for tests and trials.
package certs
