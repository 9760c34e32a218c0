package main

import (
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
)

func newKV() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "kv",
		Short: "Run the stand-in of the key-value service",
		Example: `  samphirelab kv --listen 127.0.0.1:9100
  curl -X POST 127.0.0.1:9100/v1/fault -d '{"down":true}'
  curl -X POST 127.0.0.1:9100/v1/fault -d '{"slow_ms":500,"lose_every":3}'
  curl 127.0.0.1:9100/v1/calls`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := kvsrv.Start(listen)
			if err != nil {
				return err
			}
			return serveUntilSignal(cmd.Context(), cmd, s)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9100", "address of the service")
	return cmd
}
