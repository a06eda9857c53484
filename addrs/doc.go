// Package addrs reserves loopback addresses for tests that stop a listener and
// start it again at the same address. An address from the kernel's range of
// ephemeral ports may be taken by any outgoing connection in between.
package addrs
