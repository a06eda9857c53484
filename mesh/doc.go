// Package mesh connects the processes of a fleet, each of which is given only
// a few addresses at the start. Entry hosts send a heartbeat to every control
// host several times a second. The reply tells them the control hosts, the
// revision of the desired state, the age of the target list and the number of
// entry hosts, and they fetch what is newer than their own.
//
// Control hosts that are not members of the replicated log request to join.
// The leader adds them, replaces members that came back with an empty disk,
// and removes members that have failed permanently.
//
// While no control host can be reached, entry hosts keep serving with what
// they last received.
package mesh
