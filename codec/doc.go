// Package codec encodes and decodes documents, commands, outcomes and
// snapshots. Operators write documents in YAML. Everything else is encoded as
// msgpack in an envelope with a version and a kind.
//
// Decoding is strict: it returns a *VersionError for an unknown version, a
// *KindError for an unknown kind and a *CorruptError for any other data that
// cannot be decoded. For a YAML document, it returns a *DocumentError with the
// line, column and field of each violation.
package codec
