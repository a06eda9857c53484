// Package script is for tests of clients: it runs servers that send bytes which no real
// server should, and knows answers that are none of HTTP/1.x.
package script
