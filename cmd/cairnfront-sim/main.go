// Command cairnfront-sim runs the routing module for the simulator. It reads batches of events from standard input and
// writes the actions of the routers to standard output.
package main

import (
	"fmt"
	"os"

	"cairnfront/routing"
	"cairnfront/simadapter"
)

func main() {
	newRouter := func(seed uint64, settings routing.Settings) routing.Decider { return routing.New(seed, settings) }
	if err := simadapter.Serve(os.Stdin, os.Stdout, newRouter); err != nil {
		fmt.Fprintln(os.Stderr, "cairnfront-sim:", err)
		os.Exit(1)
	}
}
