// Package patch encodes documents as compressed differences to an earlier
// version and cuts the encodings into pieces, so that a document of any size
// can be sent over a slow link and a small change costs few bytes.
//
// A difference is a zstd frame whose dictionary is the earlier version. The
// digest of the whole document verifies the result. An Archive keeps the
// latest versions of one document and serves their pieces. It is not safe for
// concurrent use; a task owns it.
package patch
