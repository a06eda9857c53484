// Package codec turns documents, commands, outcomes and snapshots into bytes
// and back. Documents are YAML, as operators write them; everything else is
// msgpack in an envelope with a version and a kind.
//
// Decoding is strict: an unknown version is a *VersionError, an unknown kind a
// *KindError, anything else that cannot be read a *CorruptError. For
// documents, a *DocumentError names line, column and field of each fault.
package codec
