// Package node assembles processes from the other packages: a control host, an
// entry host, and a development process that runs one control host, two entry
// hosts and stand-ins for the platform and the targets.
//
// RunControl and RunEntry run hosts that are configured by conf.Settings.
// RunFleetControl and RunFleetEntry run hosts that are configured by HostConfig
// and find each other through seed addresses.
//
// The package makes no traffic decisions; it starts the tasks of a process in
// order, connects them, and stops them in the reverse order.
package node
