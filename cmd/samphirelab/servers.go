package main

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// serversFlags are the flags of the servers command.
type serversFlags struct {
	documents string
	control   string
	history   string
	options   server.Options
}

func newServers() *cobra.Command {
	var flags serversFlags
	cmd := &cobra.Command{
		Use:   "servers",
		Short: "Run the backend servers of service documents",
		Long: `servers runs each backend server that the service documents name, at its own
address. Faults are requested at the control address: POST /v1/fault with
"action" and, to select servers, "server", "service" or "zone".

Actions: restart, freeze, thaw, silent, kill, revive, slow ("factor"), shed,
drain, lie, garbage ("garbage": json, request, version, large, deaf,
or what no client can see: mixed, crossed, shard, denied; "every"), versions ("maps"). "off":true ends slow, shed, drain and lie;
garbage ends with an empty "garbage".`,
		Example: `  samphirelab servers --documents conf/ --control 127.0.0.1:9300 --history servers.jsonl
  curl -X POST 127.0.0.1:9300/v1/fault -d '{"server":"agent-desk/a0","action":"slow","factor":20}'
  curl -X POST 127.0.0.1:9300/v1/fault -d '{"zone":"espoo","action":"kill"}'
  curl -X POST 127.0.0.1:9300/v1/fault -d '{"server":"agent-desk/a0","action":"versions","maps":"1=0/2,2=0/2"}'
  curl 127.0.0.1:9300/v1/stats`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runServers(cmd, flags) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.documents, "documents", ".", "directory of the service documents, *.ini")
	f.StringVar(&flags.control, "control", "127.0.0.1:9300", "address for faults and statistics")
	f.StringVar(&flags.history, "history", "", "file for the history")
	f.Uint64Var(&flags.options.Seed, "seed", 1, "seed of the service times")
	f.DurationVar(&flags.options.Mean, "mean", 4*time.Millisecond, "mean service time of a warm server")
	f.Float64Var(&flags.options.Sigma, "sigma", 0.5, "spread of the log-normal service times")
	f.IntVar(&flags.options.Queue, "queue", 8, "requests that may wait for a slot before a server sheds load")
	return cmd
}

func runServers(cmd *cobra.Command, flags serversFlags) error {
	specs, err := server.ReadDocuments(flags.documents)
	if err != nil {
		return err
	}
	recorder, err := trace.NewFileRecorder(flags.history, "servers")
	if err != nil {
		return err
	}
	flags.options.Recorder = recorder
	host, err := server.Start(specs, flags.control, flags.options)
	if err != nil {
		return errors.CombineErrors(err, recorder.Close())
	}
	return errors.CombineErrors(serveUntilSignal(cmd.Context(), cmd, host), recorder.Close())
}
