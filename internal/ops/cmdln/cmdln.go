// Package cmdln implements the command line of samphirestair. It checks and applies
// documents, takes VMs, zones and backend servers in and out of service, shows the
// configuration in force, and starts the process of a VM.
package cmdln

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/samphirestair/samphirestair/internal/base/typos"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

// Exit codes of the process.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitRefused means that a file has faults or that a change was rejected.
	ExitRefused = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitUnknown means that it is unknown whether a change took effect.
	ExitUnknown = 3
	// ExitUnavailable means that a service or VM did not answer, and that
	// nothing was changed.
	ExitUnavailable = 4
)

// Environment variables that set the defaults of --store and --vms.
const (
	envStore = "SAMPHIRESTAIR_STORE"
	envVMs   = "SAMPHIRESTAIR_VMS"
)

// Fetcher calls the admin listeners of VMs. It is called concurrently.
type Fetcher interface {
	// Get returns the response body for a path such as fetch.PathStatus. It fails with
	// fetch.ErrUnavailable.
	Get(ctx context.Context, address, path string) ([]byte, error)
	// Post is like Get for a path that changes something, such as fetch.PathLift.
	Post(ctx context.Context, address, path string) ([]byte, error)
}

// Deps are the dependencies of the commands.
type Deps struct {
	// Serve runs the process of a VM until ctx ends.
	Serve func(ctx context.Context, settings *vmconf.Settings) error
	// Forward runs the process of a VM that forwards requests until it is asked
	// to stop. It calls load to read the settings file again.
	Forward func(settings *fwconf.Settings, load func() (*fwconf.Settings, error)) error
	// Store returns a client of the key-value service at a URL.
	Store func(url string) (store.Store, error)
	// VMs returns a client of the platform's VM list at a URL.
	VMs func(url string) (vmlist.List, error)
	// Fetch calls the admin listeners of VMs.
	Fetch Fetcher
	// Routing decodes a routing configuration as operators send it.
	Routing func(data []byte) (*routes.Config, error)
	// PolicyNames returns the registered policies of a kind.
	PolicyNames func(kind string) []string
	// ChangeOptions are the options of change.New. The zero value gives the defaults.
	ChangeOptions change.Options
}

// CLI is the command line. It is not safe for concurrent use.
type CLI struct {
	deps Deps
	out  io.Writer
	// Values of the flags that all commands share.
	storeURL string
	vmsURL   string
	timeout  time.Duration
	json     bool
}

// New returns a command line that uses deps.
func New(deps Deps) *CLI {
	return &CLI{deps: deps}
}

// exitError ends a command with an exit code. An empty message means that the command
// has already printed why.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (e *exitError) Error() string { return e.message }

// fail returns an error that ends a command with an exit code and a message.
func fail(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// Run executes the command line args and returns the exit code.
func (c *CLI) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c.out = stdout
	root := c.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	command, err := root.ExecuteContextC(ctx)
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(stderr, text+suggestion(command, text))
	}
	if code == ExitUsage {
		_, _ = fmt.Fprintln(stderr, "run samphirestair help for the commands")
	}
	return code
}

// unknownFlag begins the error message of pflag about an unknown flag.
const unknownFlag = "unknown flag: --"

// suggestion returns a "did you mean" question with the known flag that is most similar
// to the unknown flag in message. It is empty if message is about something else or no
// flag is similar. Cobra itself suggests commands.
func suggestion(command *cobra.Command, message string) string {
	name, ok := strings.CutPrefix(message, unknownFlag)
	if !ok {
		return ""
	}
	var known []string
	command.Flags().VisitAll(func(f *pflag.Flag) { known = append(known, "--"+f.Name) })
	return typos.Suggest("--"+name, known)
}

// exitCode returns the exit code of an error. Errors other than exitError come from
// cobra, which failed to parse the command line.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

// classify turns an error of a command into an exitError, unless it is one already.
func classify(err error) error {
	var exit *exitError
	switch {
	case err == nil || errors.As(err, &exit):
		return err
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, fetch.ErrUnavailable):
		return fail(ExitUnavailable, "%v", err)
	default:
		return fail(ExitRefused, "%v", err)
	}
}

// printf writes to the output. It ignores failures: there is nowhere to report them.
func (c *CLI) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...)
}

// withTimeout returns a function for cobra that calls run with a context that ends
// after --timeout, and classifies its error.
func (c *CLI) withTimeout(run func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(command.Context(), c.timeout)
		defer cancel()
		return classify(run(ctx, args))
	}
}

// store returns a client of the key-value service, and a usage error if no URL is given.
func (c *CLI) store() (store.Store, error) {
	if c.storeURL == "" {
		return nil, fail(ExitUsage, "cli: say where the key-value service is, by --store or %s", envStore)
	}
	s, err := c.deps.Store(c.storeURL)
	if err != nil {
		return nil, fail(ExitUsage, "cli: --store: %v", err)
	}
	return s, nil
}

// changer returns a changer of the configuration, with the client of the key-value
// service that it uses.
func (c *CLI) changer() (*change.Changer, store.Store, error) {
	s, err := c.store()
	if err != nil {
		return nil, nil, err
	}
	return change.New(s, c.deps.ChangeOptions), s, nil
}
