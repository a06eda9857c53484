// Package quota counts events in sliding windows and holds them to bounds.
//
// Every bound of this package holds for the whole fleet: each entry host
// enforces a fixed share of it by itself. The shares of all hosts add up to
// one at most, so the bounds hold without contact between the hosts.
package quota
