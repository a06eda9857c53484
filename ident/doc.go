// Package ident defines the names and numbers that the parts of rhubarbrack
// share: hosts, availability zones, regions, teams, services, targets,
// revisions and epochs, and the small generic types Set and Option.
//
// All values are comparable and safe to send in messages.
package ident
