// Package quorum decides which hosts are the voters of the replicated log. It
// decides on one change at a time, for the leader, and has no clock and no I/O.
//
// The aim is that at every moment the loss of as many disks as the fleet must
// tolerate leaves a majority of the voters. A host that is gone for good must
// therefore not remain a voter once its successor is one, and a host that may
// come back with its disk must not be removed before.
package quorum
