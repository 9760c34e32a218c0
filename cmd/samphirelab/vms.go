package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

func newVMs() *cobra.Command {
	var listen, file string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "vms",
		Short: "Run the stand-in of the list of VMs",
		Example: `  samphirelab vms --listen 127.0.0.1:9200 --lag 5s --file vms.json
  curl -X PUT 127.0.0.1:9200/v1/vms -d '[{"id":"vm-a","zone":"espoo","ip":"127.0.1.1","state":"live"}]'
  curl -X POST 127.0.0.1:9200/v1/fault -d '{"down":true,"lag_ms":5000}'`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			vms, err := readVMs(file)
			if err != nil {
				return err
			}
			s, err := vmsrv.Start(listen, vmsrv.Fault{LagMillis: int(lag.Milliseconds())})
			if err != nil {
				return err
			}
			if file != "" {
				s.SetVMs(vms)
			}
			return serveUntilSignal(cmd.Context(), cmd, s)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9200", "address of the service")
	cmd.Flags().StringVar(&file, "file", "", "JSON file with the first list")
	cmd.Flags().DurationVar(&lag, "lag", 0, "delay until the list shows a change")
	return cmd
}

// readVMs reads a list of VMs from a JSON file. Without a file name the list is empty.
func readVMs(name string) ([]vmlist.VM, error) {
	vms := []vmlist.VM{}
	if name == "" {
		return vms, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "vms")
	}
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, errors.Wrapf(err, "vms: %s", name)
	}
	return vms, nil
}
