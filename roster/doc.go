// Package roster decides which entry host has which role: the slot owner of
// each region and the rate owner of each shard of teams.
//
// A role moves only when its holder has ended, which the caller decides by
// leases and releases, so that never two hosts act for one role. Within that
// rule, roles of a region go to its own hosts, hosts have equal numbers of
// roles, and roles are spread over zones.
package roster
