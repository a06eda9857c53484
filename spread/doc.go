// Package spread chooses the target of each request on one entry host, from
// what the host sees by itself: its own requests under way, the load that
// answers report, failures and times.
//
// A target that handled an object lately is several times faster with it, and
// remembers only few objects. So each object has a home, the target that
// ranks first by rendezvous hashing (Thaler and Ravishankar, 1998), with
// bounded load (Mirrokni, Thorup and Zadimoghaddam, 2018): a request goes to
// the first target in the order of its object that has a free slot. All entry
// hosts compute the same order without talking to each other, and it changes
// only for the objects of targets that come or go.
package spread
