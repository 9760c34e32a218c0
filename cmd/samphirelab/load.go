package main

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/lab/load"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// loadFlags are the flags of the load command. services and history are parsed and opened
// before they go into options.
type loadFlags struct {
	options  load.Options
	services []string
	history  string
	asJSON   bool
}

func newLoad() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send an open-loop load to entry VMs",
		Long: `load sends requests to entry VMs as callers would: it asks an entry VM for
addresses, keeps them for their lifetime and sends each request to one of them.
Requests arrive as a Poisson process that the seed determines; latencies count
from the intended start of each request.`,
		Example: `  samphirelab load --entry 127.0.1.1:8000 --service agent-desk:search=200,lookup=20,action/book=5 \
    --classes phone,batch --duration 30s --deadline 400ms --seed 7 --history load.jsonl`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, flags) },
	}
	f := cmd.Flags()
	f.StringSliceVar(&flags.options.Entries, "entry", nil, "ip:port of an entry VM; may be given more than once")
	f.StringArrayVar(&flags.services, "service", nil,
		"NAME:search=RATE,lookup=RATE,action/NAME=RATE with rates per second; may be given more than once")
	f.StringSliceVar(&flags.options.Classes, "classes", nil, "caller classes; one is drawn at random for each request")
	f.DurationVar(&flags.options.Duration, "duration", 10*time.Second, "length of the run")
	f.DurationVar(&flags.options.Deadline, "deadline", 500*time.Millisecond, "deadline stated in each request")
	f.DurationVar(&flags.options.Grace, "grace", 100*time.Millisecond,
		"time after the deadline at which an address that did not answer counts as silent")
	f.IntVar(&flags.options.Attempts, "attempts", 3, "maximum number of addresses that a request tries")
	f.BoolVar(&flags.options.MoveOn, "move-on", false, "ask for addresses again when an answer says so")
	f.IntVar(&flags.options.Limit, "limit", 10, "number of hits that a search asks for")
	f.Uint64Var(&flags.options.Seed, "seed", 1, "seed of the arrivals")
	f.StringVar(&flags.history, "history", "", "file for the history")
	f.StringVar(&flags.options.Name, "name", "load", "name of this process in ids and in the history")
	f.BoolVar(&flags.asJSON, "json", false, "print the report as JSON")
	return cmd
}

func runLoad(cmd *cobra.Command, flags loadFlags) error {
	options := flags.options
	for _, text := range flags.services {
		mix, err := load.ParseMix(text)
		if err != nil {
			return err
		}
		options.Mixes = append(options.Mixes, mix)
	}
	recorder, err := trace.NewFileRecorder(flags.history, flags.options.Name)
	if err != nil {
		return err
	}
	options.Recorder = recorder
	report, err := load.Run(cmd.Context(), options)
	if err = errors.CombineErrors(err, recorder.Close()); err != nil {
		return err
	}
	return printReport(cmd, report, flags.asJSON)
}

func printReport(cmd *cobra.Command, report load.Report, asJSON bool) error {
	if !asJSON {
		return report.WriteText(cmd.OutOrStdout())
	}
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
