package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cairnfront/internal/config"
	"cairnfront/internal/edgecache"

	"github.com/spf13/cobra"
)

const edgeCacheHelp = `Run an edge cache: a memory cache over a disk cache.

The configuration file has its settings, in a section each for the edge cache and the disk cache (see 'cairnfront config
defaults'). With role "parent" or "origin" it runs as a parent cache or as an origin, for tests.

The log goes to standard error. Signals:
  SIGUSR1            print the counters
  SIGTERM, SIGINT    drain: answer the open requests, then exit 0`

func edgeCacheCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "edge-cache",
		Short: "Run an edge cache: a memory cache over a disk cache",
		Long:  edgeCacheHelp,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runEdgeCache(cmd.Context(), path) },
	}
	c.Flags().StringVar(&path, "config", "deploy/operators.yaml", "path of the configuration file")
	return c
}

// runEdgeCache runs an edge cache until SIGTERM or SIGINT. SIGUSR1 dumps its counters. The goroutine that forwards
// SIGUSR1 runs until the process exits.
func runEdgeCache(ctx context.Context, path string) error {
	file, err := config.Read(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	usr1 := make(chan os.Signal, 1)
	signal.Notify(usr1, syscall.SIGUSR1)
	dump := make(chan struct{})
	go func() {
		for range usr1 {
			dump <- struct{}{}
		}
	}()
	return edgecache.Serve(ctx, file, os.Stderr, dump)
}
