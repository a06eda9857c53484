// Package plan determines the configuration changes that the control leader
// makes automatically: it ends the membership of silent processes, assigns roles
// to live entry hosts, and moves the shares of services between regions.
//
// It converts the replicated configuration, the platform's list and the demand
// to the inputs of packages roster and shift, and their results to commands. It
// does no I/O; the caller passes the time.
package plan
