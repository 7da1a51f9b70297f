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
	var file string
	c := &cobra.Command{Use: "box", Short: "Run a cache box: memory over a disk, as the operators' file says", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rules, err := config.Read(file)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			usr1, print := make(chan os.Signal, 1), make(chan struct{})
			signal.Notify(usr1, syscall.SIGUSR1)
			go func() {
				for range usr1 {
					print <- struct{}{}
				}
			}()
			return edgecache.Serve(ctx, rules, os.Stderr, print)
		}}
	c.Flags().StringVar(&file, "operators", "deploy/operators.yaml", "the operators' file")
	return c
}
