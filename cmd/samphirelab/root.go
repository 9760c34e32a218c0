package main

import "github.com/spf13/cobra"

// newRoot returns the root command with all subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "samphirelab",
		Short: "Stand-ins of the platform, load tool and checkers",
		Long: `samphirelab runs small stand-ins of the platform's services and of backend
servers, sends load to entry VMs and checks the histories of runs.

Services run until SIGTERM or SIGINT and then stop with exit code 0. A failure
gives exit code 1.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newKV(), newVMs(), newServers(), newLoad(), newWatch(), newAudit(), newChaos(), newKey())
	return root
}
