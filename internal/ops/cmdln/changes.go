package cmdln

import (
	"context"
	"os/user"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/conf/change"
)

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	by         string
	expect     uint64
	expectFlag *pflag.Flag
	force      bool
}

func (f *changeFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.by, "by", userName(), "name recorded with the change")
	command.Flags().Uint64Var(&f.expect, "expect", 0, "accept only if this `serial` is in force")
	f.expectFlag = command.Flags().Lookup("expect")
	f.expectFlag.DefValue = ""
	command.Flags().BoolVar(&f.force, "force", false, "skip checks against the documents in force")
}

// fillIn returns r with the fields that the flags set: By, Force and, if --expect is
// given, ExpectSerial.
func (f *changeFlags) fillIn(r change.Request) change.Request {
	r.By, r.Force = f.by, f.force
	if f.expectFlag.Changed {
		r.ExpectSerial = coll.Some(f.expect)
	}
	return r
}

func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func (c *CLI) applyCommand() *cobra.Command {
	flags := &changeFlags{}
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a document in force",
		Long: `Put a document in force.

The change is rejected if another operator changes the same service meanwhile;
the other change is shown. With --expect it is rejected if anything was changed
since that serial.`,
		Example: "  samphirestair apply agent-desk.ini\n  samphirestair apply agent-desk.ini --by aino --expect 41",
		Args:    cobra.ExactArgs(1),
	}
	flags.register(command)
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		document, err := readDocument(args[0])
		if err != nil {
			return err
		}
		return c.applyChange(ctx, flags.fillIn(change.Request{Kind: change.Apply, Document: document}))
	})
	return command
}

// outInPair describes the commands "NAME out ARGUMENT" and "NAME in ARGUMENT".
type outInPair struct {
	name        string
	description string
	argument    string
	example     string
	out         change.Kind
	in          change.Kind
	// completeOut and completeIn list the arguments that the shell offers for "out"
	// and "in".
	completeOut, completeIn nameSource
}

func (c *CLI) outInCommands() []*cobra.Command {
	pairs := []outInPair{
		{
			name: "zone", description: "availability zone", argument: "ZONE", example: "espoo",
			out: change.ZoneOut, in: change.ZoneIn, completeOut: zonesInService, completeIn: zonesOutOfService,
		},
		{
			name: "vm", description: "VM", argument: "VM", example: "vm-3",
			out: change.VMOut, in: change.VMIn, completeOut: noNames, completeIn: vmsOutOfService,
		},
		{
			name: "server", description: "backend server", argument: "SERVICE/SERVER", example: "agent-desk/a0",
			out: change.ServerOut, in: change.ServerIn, completeOut: serversInService, completeIn: serversOutOfService,
		},
	}
	commands := make([]*cobra.Command, len(pairs))
	for i, pair := range pairs {
		commands[i] = c.outInCommand(pair)
	}
	return commands
}

func (c *CLI) outInCommand(pair outInPair) *cobra.Command {
	parent := &cobra.Command{
		Use:   pair.name,
		Short: "Take a " + pair.description + " out of service or bring it back",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return fail(ExitUsage, "cli: say %s out or %s in", pair.name, pair.name)
		},
	}
	parent.AddCommand(
		c.outInSubcommand(pair, "out", "Take a "+pair.description+" out of service", pair.out, pair.completeOut),
		c.outInSubcommand(pair, "in", "Bring a "+pair.description+" back into service", pair.in, pair.completeIn),
	)
	return parent
}

func (c *CLI) outInSubcommand(pair outInPair, verb, short string, kind change.Kind, source nameSource) *cobra.Command {
	flags := &changeFlags{}
	command := &cobra.Command{
		Use:     verb + " " + pair.argument,
		Short:   short,
		Example: strings.Join([]string{"  samphirestair", pair.name, verb, pair.example}, " "),
		Args:    cobra.ExactArgs(1),

		ValidArgsFunction: c.complete(source),
	}
	flags.register(command)
	command.RunE = c.withTimeout(func(ctx context.Context, args []string) error {
		if kind == change.VMOut && !flags.force {
			if err := c.requireKnownVM(ctx, args[0]); err != nil {
				return err
			}
		}
		return c.applyChange(ctx, flags.fillIn(change.Request{Kind: kind, Subject: args[0]}))
	})
	return command
}

// requireKnownVM fails if a VM is neither in the VM list nor a member of the fleet,
// because its name may be mistyped.
func (c *CLI) requireKnownVM(ctx context.Context, name string) error {
	known, err := c.allTargets(ctx, &targetFlags{})
	if err != nil {
		return err
	}
	if slices.ContainsFunc(known, func(vm target) bool { return vm.name == name }) {
		return nil
	}
	return fail(ExitRefused, "cli: VM %q is not known; --force takes it out nevertheless", name)
}

// applyChange writes a change to the key-value service and prints its outcome.
func (c *CLI) applyChange(ctx context.Context, r change.Request) error {
	changer, _, err := c.changer()
	if err != nil {
		return err
	}
	return c.reportOutcome(changer.Do(ctx, r))
}
