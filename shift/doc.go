// Package shift plans which share of each service's requests every region
// serves, per region of origin, and spreads requests accordingly.
//
// The size of a shift is half the L1 distance between two vectors of shares.
// A Ledger records every step, whatever its cause, and Plan makes none that
// would move more than the cap of the profile within any window. Half the L1
// distance obeys the triangle inequality, so the shares at any two times
// within a window differ by no more than the cap either. Load that may
// neither stay nor move is marked to be refused, lowest class first.
//
// While a step is on its way some entry hosts go by the old shares and some
// by the new ones. Plan therefore counts the greater of both for each region:
// what leaves a region makes room there only once the step is in force, and
// no mixture of hosts overloads a region or a link.
package shift
