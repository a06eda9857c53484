// Package cmds implements the command line: commands that run the entry and
// control roles, commands for operators, and programs for trials, such as dev,
// target, stand and load.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict with another
// change, 4 refused, 5 no control host could serve the call.
package cmds
