// Package state is the replicated state machine: the configuration that entry
// hosts hold, and the claims that control hosts keep for non-idempotent
// requests.
//
// Machine.Apply and Replay are deterministic: equal commands in equal order
// give equal states. The only time they know is the one that a command
// carries, set by Stamp on the control leader. Entry hosts receive the shared
// commands whose outcome was Shared and apply them with Replay.
//
// Config is immutable. A change copies the path to what it touches and shares
// the rest, so a *Config is cheap to pass in a message.
package state
