// Package intact tells whole HTTP/1.x responses from broken ones, for all clients
// of this project that read responses.
package intact
