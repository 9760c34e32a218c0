// Command book is an example of a caller that runs an action. It makes one
// idempotency key and sends it with every attempt, so that the action runs at most
// once. With a fleet running (scripts/demo --stay):
//
//	go run ./examples/book --entry 127.0.1.1:7000 --service order-track --action book
//
// With --lose-first the first answer is discarded, as if it had been lost.
package main

import (
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/samphirestair/samphirestair/examples/client"
)

// options are the flags of the command.
type options struct {
	entries   []string
	service   string
	action    string
	route     string
	body      string
	tries     int
	within    time.Duration
	loseFirst bool
}

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use: "book", Short: "Run an action at most once", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return book(o) },
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.entries, "entry", []string{"127.0.1.1:7000"}, "addresses to ask first")
	flags.StringVar(&o.service, "service", "order-track", "service that runs the action")
	flags.StringVar(&o.action, "action", "book", "action as the service's document names it")
	flags.StringVar(&o.route, "route", "", "what the action is about; selects the shard")
	flags.StringVar(&o.body, "body", "{}", "details of the action")
	flags.IntVar(&o.tries, "tries", 3, "number of times to ask for the outcome")
	flags.DurationVar(&o.within, "within", time.Second, "time for each try")
	flags.BoolVar(&o.loseFirst, "lose-first", false, "throw the first answer away")
	return command
}

// book sends the action until its outcome is known, at most o.tries times.
func book(o options) error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "make a key")
	}
	request := client.Request{
		Path:    "/v1/action/" + url.PathEscape(o.service) + "/" + url.PathEscape(o.action),
		Headers: map[string]string{"Idempotency-Key": key.String()},
		Body:    []byte(o.body),
	}
	if o.route != "" {
		request.Headers["Route-Key"] = o.route
	}
	vms := client.New(o.entries...)
	for try := 1; try <= o.tries; try++ {
		answer, err := vms.Do(request, time.Now().Add(o.within))
		switch {
		case o.loseFirst && try == 1:
			fmt.Println("try 1: the answer is thrown away")
		case err != nil:
			fmt.Printf("try %d: no answer: %v\n", try, err)
		case answer.Outcome == "unknown":
			fmt.Printf("try %d: unknown: %s\n", try, answer.Error.Message)
		case answer.Outcome == "done":
			fmt.Printf("try %d: done: %s\n", try, answer.Answer)
			return nil
		default:
			return errors.Newf("%s: %s", answer.Outcome, answer.Error.Message)
		}
	}
	return errors.Newf("the outcome is not known; look the booking up before you make a new key than %s", key)
}
