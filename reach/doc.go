// Package reach decides which services an entry host cannot reach although it
// runs and is in contact with callers and other hosts. The evidence is its own:
// failures to open connections, and signs of life of the targets.
package reach
