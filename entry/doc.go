// Package entry is the part of an entry host that talks to the other entry
// hosts. Two kinds of roles are spread over them: the rate owner of a shard
// of teams and the slot owner of a region. The package holds the owner tasks,
// the holder tasks that every entry host runs, and the calls between them.
//
// An owner acts only while the view names its host and incarnation for the
// role and while its lease is fresh. Epochs fence what earlier owners
// granted.
package entry
