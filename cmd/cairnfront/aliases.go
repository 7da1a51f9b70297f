package main

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// This file defines the earlier names of commands and flags as aliases, which are hidden from help texts.

// Earlier names of commands.
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

// flagAliases maps the earlier name of each renamed flag to its current name.
var flagAliases = map[string]string{
	"acts":      "faults",
	"lasts":     "duration",
	"operators": "config",
	"slices":    "shards",
}

// aliasedCommands returns the top-level commands under their earlier names.
func aliasedCommands() []*cobra.Command {
	return []*cobra.Command{
		alias(aliasEdgeCache, edgeCacheCommand()),
		alias(aliasReplication, replicationCommand()),
		alias(aliasConfig, configCommand()),
		alias(aliasAddresses, addressesCommand()),
		alias(aliasDiskCache, diskCacheCommand()),
	}
}

// alias renames a command to an earlier name and hides it from help and completion.
func alias(name string, c *cobra.Command) *cobra.Command {
	_, arguments, _ := strings.Cut(c.Use, " ")
	c.Use = strings.TrimSpace(name + " " + arguments)
	c.Hidden = true
	return c
}

// currentFlagName returns the current name of a flag, which may be given by its earlier name.
func currentFlagName(_ *pflag.FlagSet, name string) pflag.NormalizedName {
	if current, ok := flagAliases[name]; ok {
		name = current
	}
	return pflag.NormalizedName(name)
}
