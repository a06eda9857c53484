// Package quota counts events in sliding windows and enforces limits on them.
//
// Every limit of this package applies to all entry hosts together: each host
// enforces a share of it by itself. The shares of all hosts add up to at most
// one, so the limits hold without communication between the hosts.
package quota
