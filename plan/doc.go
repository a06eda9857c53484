// Package plan decides what the control leader changes by itself: it ends the
// membership of silent processes, assigns roles to live entry hosts, and moves
// the shares of services between regions.
//
// It turns the replicated configuration, the platform's list and the demand
// into the inputs of packages roster and shift, and their answers into
// commands. It is pure; times are passed in.
package plan
