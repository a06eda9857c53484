// Package lister implements an HTTP client that polls the platform's list of
// targets. The list lags behind the platform's state and polls may fail. A Lister
// therefore keeps the last received list and passes it to its listener together
// with the list's age.
package lister
