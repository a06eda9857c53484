// Package spread selects the target of each attempt on one entry host, from
// what the host observes itself (its own in-flight requests, the load that
// responses report, failures and latencies) and from the stats of other hosts.
//
// A target that recently handled an object is several times faster with it,
// but its cache holds only a few objects. Each object therefore has preferred
// targets, ranked by rendezvous hashing (Thaler and Ravishankar, 1998) with
// bounded load (Mirrokni, Thorup and Zadimoghaddam, 2018): a request goes to
// the first target in the object's order that has a free slot. All entry hosts
// compute the same order without communication, and when targets are added or
// removed it changes only for the objects of those targets.
package spread
