// Package trial compares strategies for assigning requests to the slots of
// targets in deterministic discrete-event simulations: private selection at
// each entry host, a static split of the slots, and one owner of all slots with
// a first-come queue or with the queues of package steer.
//
// A simulation has nine entry hosts and 50 targets in three zones. A target runs
// as many requests as it has slots and queues the rest. Times are simulated,
// and random numbers are generated from the seed.
package trial
