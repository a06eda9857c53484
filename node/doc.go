// Package node assembles processes from the other packages: a control host, an
// entry host, and the process for a first trial that runs one control host,
// two entry hosts and stand-ins of the outside systems.
//
// It holds no decisions of its own; it starts the tasks of a process in order,
// connects them, and stops them in the reverse order.
package node
