// Package roster assigns roles to entry hosts: the slot owner of each region
// and the rate owner of each shard of teams.
//
// A role moves only when its holder has ended, which the caller decides from
// leases and releases, so that two hosts never act in one role at a time.
// Within that rule, roles of a region are assigned to hosts of the region,
// hosts have equal numbers of roles, and roles are spread over zones.
package roster
