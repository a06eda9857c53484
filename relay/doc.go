// Package relay serves callers: it reads their requests, asks the admission
// controller what to do with each, forwards requests to targets and returns
// the responses.
//
// A Dialect defines how requests, responses and refusals are encoded. One task
// owns the admission controller. Request handlers send it messages for each
// decision, and stream the bodies in their own goroutines.
package relay
