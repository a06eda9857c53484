// Package mesh joins the processes of a fleet that is given only a few
// addresses at the start. Entry hosts report to every control host several
// times a second and learn in return the control hosts, the revision of the
// operators' orders, the age of the list of targets and the number of entry
// hosts. What is newer than their own they fetch.
//
// Control hosts that are not members of the replicated log ask to join; the
// leader adds them, replaces members that came back with another disk, and
// removes members that are gone for good.
//
// Entry hosts serve with what they last learned while no control host can be
// reached.
package mesh
