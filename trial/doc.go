// Package trial compares ways to give out the slots of targets by
// deterministic discrete-event trials: private selection at each entry host,
// a static split of the slots, and one owner of all slots with a first-come
// queue or with package steer's queues.
//
// A trial has nine entry hosts and 50 targets in three zones. A target runs
// as many requests as it has slots and queues the rest. Times are simulated,
// and random numbers come from the seed.
package trial
