package main

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// This file has the earlier names of commands and flags. They work as the current names do and are in no help text.

// The earlier names of commands.
const (
	aliasAddresses      = "reach"
	aliasCooldown       = "rest"
	aliasConfig         = "operators"
	aliasDiskCache      = "tier"
	aliasEdgeCache      = "box"
	aliasReinstate      = "unrest"
	aliasReplication    = "ledger"
	aliasSimMembership  = "peers"
	aliasSimReplication = "ledger"
)

// flagAliases has the current name of each flag that had another one.
var flagAliases = map[string]string{
	"acts":      "faults",
	"lasts":     "duration",
	"operators": "config",
	"slices":    "shards",
}

// aliasedCommands returns the commands of the top level under their earlier names.
func aliasedCommands() []*cobra.Command {
	return []*cobra.Command{
		alias(aliasEdgeCache, edgeCacheCommand()),
		alias(aliasReplication, replicationCommand()),
		alias(aliasConfig, configCommand()),
		alias(aliasAddresses, addressesCommand()),
		alias(aliasDiskCache, diskCacheCommand()),
	}
}

// alias gives a command an earlier name and hides it from help and completion.
func alias(name string, c *cobra.Command) *cobra.Command {
	_, arguments, _ := strings.Cut(c.Use, " ")
	c.Use = strings.TrimSpace(name + " " + arguments)
	c.Hidden = true
	return c
}

// currentFlagName returns the current name of a flag.
func currentFlagName(_ *pflag.FlagSet, name string) pflag.NormalizedName {
	if current, ok := flagAliases[name]; ok {
		name = current
	}
	return pflag.NormalizedName(name)
}
