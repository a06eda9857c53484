// Package bridge encodes what entry hosts add to requests that one sends to targets
// through another one, and to the responses. It makes no decisions.
package bridge
