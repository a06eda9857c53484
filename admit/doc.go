// Package admit implements admission control on one entry host: whether a
// request may run, which target it is sent to, whether a failed attempt is
// retried, and with which reason a request is refused. Decisions need no call
// to another process, except that the caller of the package may request a token
// of the reserve for a request beyond this host's share of its team's rate.
package admit
