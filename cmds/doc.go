// Package cmds is the command line: the roles entry and control, the commands
// for operators, and the trial programs dev, target and load.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict with another
// change, 4 refused, 5 no control host could serve the call.
package cmds
