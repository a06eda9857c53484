// Command rhubarbrack steers requests across regions to targets. Run it
// without arguments for the list of commands.
package main

import (
	"context"
	"os"

	"rhubarbrack/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
