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

// changeFlags are the flags of commands that change something.
type changeFlags struct {
	by       string
	expect   uint64
	expected *pflag.Flag
	force    bool
}

func (f *changeFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.by, "by", userName(), "name noted with the change")
	command.Flags().Uint64Var(&f.expect, "expect", 0, "accept only if this `serial` is in force")
	f.expected = command.Flags().Lookup("expect")
	f.expected.DefValue = ""
	command.Flags().BoolVar(&f.force, "force", false, "skip checks against the documents in force")
}

// request completes a request by the flags.
func (f *changeFlags) request(r change.Request) change.Request {
	r.By, r.Force = f.by, f.force
	if f.expected.Changed {
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
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		document, err := readDocument(args[0])
		if err != nil {
			return err
		}
		return c.do(ctx, flags.request(change.Request{Kind: change.Apply, Document: document}))
	})
	return command
}

// outIn describes a pair of commands "WORD out NAME" and "WORD in NAME".
type outIn struct {
	word    string
	long    string
	subject string
	example string
	out     change.Kind
	in      change.Kind
	// inService and outOfService list the names for completion.
	inService, outOfService names
}

func (c *CLI) outInCommands() []*cobra.Command {
	pairs := []outIn{
		{
			word: "zone", long: "availability zone", subject: "ZONE", example: "espoo",
			out: change.ZoneOut, in: change.ZoneIn, inService: zonesInService, outOfService: zonesOut,
		},
		{
			word: "vm", long: "VM", subject: "VM", example: "vm-3",
			out: change.VMOut, in: change.VMIn, inService: noNames, outOfService: vmsOut,
		},
		{
			word: "server", long: "backend server", subject: "SERVICE/SERVER", example: "agent-desk/a0",
			out: change.ServerOut, in: change.ServerIn, inService: serversInService, outOfService: serversOut,
		},
	}
	commands := make([]*cobra.Command, len(pairs))
	for i, pair := range pairs {
		commands[i] = c.outInCommand(pair)
	}
	return commands
}

func (c *CLI) outInCommand(pair outIn) *cobra.Command {
	parent := &cobra.Command{
		Use:   pair.word,
		Short: "Take a " + pair.long + " out of service or bring it back",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return fail(ExitUsage, "cli: say %s out or %s in", pair.word, pair.word)
		},
	}
	parent.AddCommand(
		c.subjectCommand(pair, "out", "Take a "+pair.long+" out of service", pair.out, pair.inService),
		c.subjectCommand(pair, "in", "Bring a "+pair.long+" back into service", pair.in, pair.outOfService),
	)
	return parent
}

func (c *CLI) subjectCommand(pair outIn, verb, short string, kind change.Kind, list names) *cobra.Command {
	flags := &changeFlags{}
	command := &cobra.Command{
		Use:     verb + " " + pair.subject,
		Short:   short,
		Example: strings.Join([]string{"  samphirestair", pair.word, verb, pair.example}, " "),
		Args:    cobra.ExactArgs(1),

		ValidArgsFunction: c.complete(list),
	}
	flags.register(command)
	command.RunE = c.bounded(func(ctx context.Context, args []string) error {
		if kind == change.VMOut && !flags.force {
			if err := c.requireVM(ctx, args[0]); err != nil {
				return err
			}
		}
		return c.do(ctx, flags.request(change.Request{Kind: kind, Subject: args[0]}))
	})
	return command
}

// requireVM refuses a VM that neither the VM list nor the fleet knows, because
// its name may be mistyped.
func (c *CLI) requireVM(ctx context.Context, name string) error {
	known, err := c.allTargets(ctx, &targetFlags{})
	if err != nil {
		return err
	}
	if slices.ContainsFunc(known, func(one target) bool { return one.name == name }) {
		return nil
	}
	return fail(ExitRefused, "cli: VM %q is not known; --force takes it out nevertheless", name)
}

// do carries out a change and reports its outcome.
func (c *CLI) do(ctx context.Context, r change.Request) error {
	changer, _, err := c.changer()
	if err != nil {
		return err
	}
	return c.report(changer.Do(ctx, r))
}
