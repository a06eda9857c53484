// Package entry implements the communication between entry hosts. Roles are
// distributed over the hosts: each shard of teams has a rate owner, and each
// region has a slot owner. The package contains the owner tasks, the client
// tasks that run on every entry host, and the RPC calls between them.
//
// An owner acts only while the view assigns the role to its host and
// incarnation and while its role lease is valid. Epochs fence off the grants
// of earlier owners.
package entry
