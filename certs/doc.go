// Package certs builds configurations for mutual TLS, version 1.3 or later, from
// PEM files with a certificate, its key and the certificates of the authority.
//
// A Source checks its files for changes during a handshake if the check interval
// has passed since the last check, so that new certificates take effect without
// a restart. If the new files are invalid, the previous certificates stay in use.
// Session tickets are disabled, so that the certificate of every connection is
// verified against the current authority.
//
// NewAuthority creates an in-memory certificate authority for tests and trials.
package certs
