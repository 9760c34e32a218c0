package cmdln

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// completionTimeout limits the time that completion holds up the shell.
const completionTimeout = 2 * time.Second

// nameSource returns the names that completion offers for an argument, taken from the
// configuration in force.
type nameSource func(ix *index.Index, documents []*svcdoc.Document) []string

// complete returns a completion function for the first argument of a command. It offers
// nothing if the key-value service does not answer.
func (c *CLI) complete(source nameSource) func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return func(command *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		ctx, cancel := context.WithTimeout(command.Context(), completionTimeout)
		defer cancel()
		return c.listNames(ctx, source), cobra.ShellCompDirectiveNoFileComp
	}
}

func (c *CLI) listNames(ctx context.Context, source nameSource) []string {
	changer, _, err := c.changer()
	if err != nil {
		return nil
	}
	_, ix, err := changer.Read(ctx)
	if err != nil {
		return nil
	}
	documents, err := changer.Documents(ctx, ix)
	if err != nil {
		return nil
	}
	return source(ix, documents)
}

func noNames(*index.Index, []*svcdoc.Document) []string { return nil }

func services(ix *index.Index, _ []*svcdoc.Document) []string {
	return keys(ix.Documents)
}

func zonesOutOfService(ix *index.Index, _ []*svcdoc.Document) []string {
	return keys(ix.ZonesOut)
}

func vmsOutOfService(ix *index.Index, _ []*svcdoc.Document) []string {
	return keys(ix.VMsOut)
}

func serversOutOfService(ix *index.Index, _ []*svcdoc.Document) []string {
	return keys(ix.ServersOut)
}

func zonesInService(ix *index.Index, documents []*svcdoc.Document) []string {
	found := coll.NewSet[string]()
	for _, document := range documents {
		for _, server := range document.Servers {
			if _, out := ix.ZonesOut[server.Zone]; !out {
				found.Add(string(server.Zone))
			}
		}
	}
	return coll.Sorted(found)
}

func serversInService(ix *index.Index, documents []*svcdoc.Document) []string {
	found := coll.NewSet[string]()
	for _, document := range documents {
		for _, server := range document.Servers {
			if _, out := ix.ServersOut[server.ID]; !out {
				found.Add(string(server.ID))
			}
		}
	}
	return coll.Sorted(found)
}

func keys[K ~string](m map[K]ident.ChangeID) []string {
	var texts []string
	for _, key := range slices.Sorted(maps.Keys(m)) {
		texts = append(texts, string(key))
	}
	return texts
}
