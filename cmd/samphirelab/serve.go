package main

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// standIn is a running stand-in for a service of the platform or for backend servers.
type standIn interface {
	io.Closer
	URL() string
}

// serveUntilSignal logs the URL of a stand-in and closes it when ctx ends, which SIGTERM
// or SIGINT makes it do.
func serveUntilSignal(ctx context.Context, cmd *cobra.Command, s standIn) error {
	logger := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
	logger.Info("serving", "url", s.URL())
	<-ctx.Done()
	logger.Info("stopping")
	return errors.Wrap(s.Close(), "stop")
}
