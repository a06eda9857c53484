// Package ident defines the identifier types shared by all packages: hosts,
// availability zones, regions, teams, services, targets, revisions and epochs.
// It also defines the generic types Set and Option.
//
// The identifiers are comparable and safe to send in messages.
package ident
