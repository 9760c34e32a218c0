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

// completionBound is the longest time that the shell waits for names.
const completionBound = 2 * time.Second

// names lists the names that an argument may be, from the configuration in
// force.
type names func(ix *index.Index, documents []*svcdoc.Document) []string

// complete returns a function with which the shell completes a first argument.
// Without the key-value service nothing is offered.
func (c *CLI) complete(list names) func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return func(command *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		ctx, cancel := context.WithTimeout(command.Context(), completionBound)
		defer cancel()
		return c.listNames(ctx, list), cobra.ShellCompDirectiveNoFileComp
	}
}

func (c *CLI) listNames(ctx context.Context, list names) []string {
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
	return list(ix, documents)
}

func noNames(*index.Index, []*svcdoc.Document) []string { return nil }

func services(ix *index.Index, _ []*svcdoc.Document) []string {
	return keys(ix.Documents)
}

func zonesOut(ix *index.Index, _ []*svcdoc.Document) []string {
	return keys(ix.ZonesOut)
}

func vmsOut(ix *index.Index, _ []*svcdoc.Document) []string {
	return keys(ix.VMsOut)
}

func serversOut(ix *index.Index, _ []*svcdoc.Document) []string {
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
