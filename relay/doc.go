// Package relay serves callers: it reads their requests, asks the desk what
// happens to each, passes requests on to targets and answers back.
//
// How requests, answers and refusals are written is the matter of a Dialect.
// The desk is owned by one task; the handlers of requests ask it by messages
// and stream the bodies in their own goroutines.
package relay
