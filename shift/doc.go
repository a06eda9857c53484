// Package shift plans the share of each service's requests that every region
// serves, per region of origin, and distributes requests by these shares.
//
// The size of a shift is half the L1 distance between two vectors of shares.
// A History records every step, whatever its cause, and Plan returns no step
// that would move more than the cap of the profile within any window. Half the
// L1 distance satisfies the triangle inequality, so the shares at any two times
// within a window differ by no more than the cap either. Load that may
// neither stay nor move is to be refused, lowest class first.
//
// While a step is being rolled out, some entry hosts use the old shares and
// some the new ones. Plan therefore counts the greater of both for each region:
// load that leaves a region frees capacity there only once the step is in
// force, and no mixture of hosts overloads a region or a link.
package shift
