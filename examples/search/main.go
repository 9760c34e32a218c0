// Command search is an example of a caller that searches. With a fleet running
// (scripts/demo --stay):
//
//	go run ./examples/search --entry 127.0.1.1:7000 --service agent-desk
package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/examples/client"
)

// options are the flags of the command.
type options struct {
	entries []string
	service string
	query   string
	limit   int
	within  time.Duration
}

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use: "search", Short: "Search all shards of a service", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return search(o) },
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.entries, "entry", []string{"127.0.1.1:7000"}, "addresses to ask first")
	flags.StringVar(&o.service, "service", "agent-desk", "service to search")
	flags.StringVar(&o.query, "query", "sofa bed table", "what to search for")
	flags.IntVar(&o.limit, "limit", 5, "number of hits")
	flags.DurationVar(&o.within, "within", time.Second, "time for the answer")
	return command
}

func search(o options) error {
	body, err := json.Marshal(map[string]any{"query": o.query, "limit": o.limit})
	if err != nil {
		return errors.Wrap(err, "encode the search")
	}
	request := client.Request{Path: "/v1/search/" + url.PathEscape(o.service), Body: body}
	answer, err := client.New(o.entries...).Do(request, time.Now().Add(o.within))
	if err != nil {
		return err
	}
	switch answer.Outcome {
	case "full", "partial":
		fmt.Printf("%s: %d of %d shards of snapshot %d\n",
			answer.Outcome, answer.Coverage.Answered, answer.Coverage.Of, answer.Snapshot)
	default:
		return errors.Newf("%s: %s", answer.Outcome, answer.Error.Message)
	}
	for _, hit := range answer.Hits {
		fmt.Printf("%8.3f  %s  %s\n", hit.Score, hit.ID, hit.Doc)
	}
	return nil
}
