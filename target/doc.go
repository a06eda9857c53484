// Package target is the HTTP client towards targets, the processes that
// answer the requests of a service.
//
// Client.Dispatch sends one request to one target and streams the answer to a
// Sink. Its Result tells whether the request ran, was proved not to have been
// written to any connection, was shed by the target, or ended in a way that
// leaves this unknown. Client.Resume continues a broken download from another
// target. Probe polls the health and load endpoints of targets.
//
// # No hidden retries
//
// net/http.Transport sends a request a second time when a reused connection
// breaks and the request is replayable, or when nothing was written and the
// request has no body. Both conditions need a request whose body is absent or
// can be rewound by GetBody. Each request of this package therefore carries a
// body without GetBody, an empty one where the request has none, and HTTP/2,
// which has retries of its own, is off. A trace hook counts the connections
// that a request received; a second one makes the outcome unknown.
package target
