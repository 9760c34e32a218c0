// Package httpd serves the fiber applications of the fake services, each on its own
// listener.
package httpd

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// stopTimeout bounds the wait for requests in flight when a daemon closes.
const stopTimeout = 2 * time.Second

// Daemon serves one application on one address.
type Daemon struct {
	app      *fiber.App
	listener net.Listener
	group    conc.WaitGroup
	err      error
}

// NewApp returns an application with the settings that all fake services share.
func NewApp() *fiber.App {
	return fiber.New(fiber.Config{
		CaseSensitive: true,
		UnescapePath:  true,
		Immutable:     true,
		BodyLimit:     maxBody,
	})
}

// maxBody bounds the bodies of requests in bytes.
const maxBody = 8 << 20

// Setter returns a handler that calls set with the decoded JSON body.
func Setter[T any](set func(T)) fiber.Handler {
	return func(c fiber.Ctx) error {
		var value T
		if err := c.Bind().JSON(&value); err != nil {
			return err
		}
		set(value)
		return c.SendStatus(fiber.StatusNoContent)
	}
}

// Start listens on address and serves app in the background.
func Start(address string, app *fiber.App) (*Daemon, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "httpd")
	}
	d := &Daemon{app: app, listener: listener}
	d.group.Go(func() {
		d.err = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return d, nil
}

// Address returns the "ip:port" on which the daemon listens.
func (d *Daemon) Address() string {
	return d.listener.Addr().String()
}

// URL returns the base URL of the daemon.
func (d *Daemon) URL() string {
	return "http://" + d.Address()
}

// Close stops listening, waits up to stopTimeout for the requests in flight and
// returns the error that ended the daemon, if any.
func (d *Daemon) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := d.app.ShutdownWithContext(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	d.group.Wait()
	return errors.CombineErrors(d.err, err)
}
