// Command drill hosts routers on the bench's wire: events on standard input, actions on standard output.
package main

import (
	"fmt"
	"os"

	"cairnfront/brain"
	"cairnfront/wire"
)

func main() {
	fresh := func(seed uint64, rec brain.Records) brain.Decider { return brain.New(seed, rec) }
	if err := wire.Serve(os.Stdin, os.Stdout, fresh); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
