package main

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// service is a stand-in that runs.
type service interface {
	io.Closer
	URL() string
}

// serveUntilDone logs the address of a service and closes it when ctx ends.
func serveUntilDone(ctx context.Context, cmd *cobra.Command, s service) error {
	logger := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
	logger.Info("serving", "url", s.URL())
	<-ctx.Done()
	logger.Info("stopping")
	return errors.Wrap(s.Close(), "stop")
}
