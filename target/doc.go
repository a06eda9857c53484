// Package target is the HTTP client for targets, the processes that handle the
// requests of a service.
//
// Client.Dispatch sends one request to one target and streams the response to
// a ResponseConsumer. Its Result tells whether the request ran, was proven not
// to have been written to any connection, was shed by the target, or ended in
// a way that leaves this unknown. Client.Resume resumes an interrupted download
// from another target. Prober polls the health and load endpoints of targets.
//
// # Pairing of responses
//
// A target may write a response again, late, where the next one is due. Each
// dispatch has an ID of its own in the header Rhubarbrack-Attempt, which targets
// should repeat in their response. A response with another ID, or without one on
// a connection that had one before, does not count: the outcome is unknown, and
// the connection is closed. A connection on which a response without an ID was a
// refusal is not used again.
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
