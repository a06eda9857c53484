// Package tasks runs the tasks of a process on protoactor-go actors. A task
// owns its state and its sockets; all other code reaches it by messages. A
// task handles one message at a time and must not block in Handle: slow work
// runs in a goroutine that sends its result back as a message.
//
// Only the package actor of protoactor-go is used. Its clustering, discovery
// and remote parts are not.
package tasks
