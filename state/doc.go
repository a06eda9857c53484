// Package state implements the replicated state machine: the configuration
// that entry hosts hold, and the claims that control hosts keep for
// non-idempotent requests.
//
// Machine.Apply and Replay are deterministic: applying the same commands in
// the same order yields the same state. Both read no clock; the only time they
// use is the timestamp of the command, which the control leader sets with
// Stamp. Entry hosts receive the commands whose outcome is Shared and apply
// them with Replay.
//
// Config is immutable. A change copies only the affected tree nodes and shares
// all others with the previous Config, so a *Config is cheap to pass in a
// message.
package state
