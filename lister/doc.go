// Package lister is the HTTP client of the platform's list of targets. The list
// lags behind the platform's state and may stop arriving; a Lister therefore
// keeps the last list and tells its sink the list together with its age.
package lister
