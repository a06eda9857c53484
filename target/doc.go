// Package target is the HTTP client for targets, the processes that handle the
// requests of a service.
//
// Client.Dispatch sends one request to one target and streams the response to
// a ResponseConsumer. Its Result tells whether the request ran, was proven not
// to have been written to any connection, was shed by the target, or ended in
// a way that leaves this unknown. Client.Resume resumes an interrupted download
// from another target. Prober polls the health and load endpoints of targets.
//
// # No hidden retries
//
// net/http.Transport sends a request a second time when a reused connection
// breaks and the request is replayable, or when nothing was written and the
// request has no body. Both conditions require a request whose body is absent
// or can be rewound by GetBody. Each request of this package therefore has a
// body without GetBody, an empty one if necessary, and HTTP/2, which has
// retries of its own, is disabled. A trace hook counts the connections that a
// request received; a second connection makes the outcome unknown.
package target
