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

func boxCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "box",
		Short: "Run a cache box: memory over a disk, as the operators' file says",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runBox(path) },
	}
	c.Flags().StringVar(&path, "operators", "deploy/operators.yaml", "the operators' file")
	return c
}

// runBox runs a cache until SIGTERM or SIGINT. SIGUSR1 dumps its counters.
func runBox(path string) error {
	file, err := config.Read(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
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
