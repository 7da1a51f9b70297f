// Command cairnfront-sim hosts routers on the bench's wire: events on standard input, actions on standard output.
package main

import (
	"fmt"
	"os"

	"cairnfront/routing"
	"cairnfront/simadapter"
)

func main() {
	fresh := func(seed uint64, rec routing.Settings) routing.Decider { return routing.New(seed, rec) }
	if err := simadapter.Serve(os.Stdin, os.Stdout, fresh); err != nil {
		fmt.Fprintln(os.Stderr, "cairnfront-sim:", err)
		os.Exit(1)
	}
}
