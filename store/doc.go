// Package store persists the log, the hard state and the snapshot of an
// agree.Node in a directory.
//
// The directory holds three files. The file identity holds the name of the host
// and the random identity of the disk. The file log is a sequence of records,
// each framed with a magic number, its length and a CRC-32C checksum. The file
// snapshot holds one such record. The identity, the snapshot and a compacted log
// are written to a temporary file, which is synced and renamed; then the
// directory is synced. Open syncs it before it reads, since an earlier process may
// have ended in between.
//
// Each record contains the offset up to which the log was synced when the record
// was written, and a short record with the new offset, the sync mark, follows
// each sync. A broken record before that offset is corruption. One after it is
// the torn tail of a crash and is truncated.
//
// After a failed write or sync, the content of the disk is unknown, so every
// later call returns the same error.
package store
