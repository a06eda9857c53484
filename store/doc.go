// Package store keeps the log, the hard state and the snapshot of a node of
// package agree in a directory.
//
// The directory holds three files. The file identity names the host and the
// random identity of the disk. The file log is a sequence of records, each
// framed with a magic number, its length and a CRC-32C. The file snapshot is
// one such record. Identity, snapshot and a compacted log are written to a
// temporary file, synced and renamed, and then the directory is synced.
//
// Each record tells up to which offset the log was synced when it was
// written, and a short mark with the new offset follows each sync. A broken
// record before that offset is corruption; one after it is the torn tail of
// a crash and is cut off.
//
// After a failed write or sync the content of the disk is unknown, so every
// later call returns the same error.
package store
