// Package admit decides the course of requests on one entry host: whether a
// request may run, to which target it is sent, whether it is sent once more,
// and with which refusal it ends. It needs no call to another process.
package admit
