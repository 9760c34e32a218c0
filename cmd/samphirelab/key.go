package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
)

func newKey() *cobra.Command {
	return &cobra.Command{
		Use:     "key",
		Short:   "Print a fresh idempotency key, a UUID of version 7",
		Example: `  curl -H "Idempotency-Key: $(samphirelab key)" -d '{"pack":17}' 127.0.1.1:7000/v1/action/order-track/book`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := uuid.NewV7()
			if err != nil {
				return errors.Wrap(err, "key")
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), key)
			return errors.Wrap(err, "key")
		},
	}
}
