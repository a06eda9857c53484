// Package node assembles processes from the other packages: a control host, an
// entry host, and a development process that runs one control host, two entry
// hosts and stand-ins for the platform and the targets.
//
// The package makes no traffic decisions; it starts the tasks of a process in
// order, connects them, and stops them in the reverse order.
package node
