package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/transport/callerclient"
)

const (
	// maxShownRows bounds the rows that are printed unless --all is given.
	maxShownRows = 5
	// readyInterval is the time between two questions whether a host is ready.
	readyInterval = 100 * time.Millisecond
	// extraWait is how long the tool waits beyond the timeout of a request.
	extraWait = 5 * time.Second
)

// requestFlags are the flags that searches and reservations share.
type requestFlags struct {
	host    string
	route   string
	house   string
	timeout time.Duration
}

func (f *requestFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.host, "host", "127.0.0.1:8080", "callers' address of an entry host")
	command.Flags().StringVar(&f.route, "route", "", "route")
	command.Flags().StringVar(&f.house, "house", "ebonyctl", "house in whose name the request is sent")
	command.Flags().DurationVar(&f.timeout, "timeout", 0, "how long to wait for the answer (default: the route's)")
	// MarkFlagRequired fails only for flags that don't exist.
	_ = command.MarkFlagRequired("route")
}

func (f *requestFlags) client() *callerclient.Client {
	return &callerclient.Client{Base: "http://" + f.host}
}

func (f *requestFlags) context(command *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(commandContext(command), f.timeout+extraWait)
}

func commandContext(command *cobra.Command) context.Context {
	if ctx := command.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

func newSearch() *cobra.Command {
	var flags requestFlags
	var filters []string
	var from, to string
	var all bool
	command := &cobra.Command{
		Use:     "search --route ROUTE [--filter NAME=VALUE]...",
		Short:   "Send a search to an entry host and print the answer",
		Example: "  ebonyctl search --route search-hair --filter Shade=7N",
		Args:    arguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			fields, err := parseFields(filters)
			if err != nil {
				return cli.InvalidArguments(command, err)
			}
			search := ebonyworks.Search{
				Route:    ebonyworks.RouteID(flags.route),
				Customer: ebonyworks.CustomerID(flags.house),
				Filters:  fields,
				Keys:     ebonyworks.KeyRange{From: from, To: to},
			}
			ctx, cancel := flags.context(command)
			defer cancel()
			outcome, err := flags.client().Search(ctx, search, flags.timeout)
			if err != nil {
				return err
			}
			return printSearch(command.OutOrStdout(), outcome, all)
		},
	}
	flags.register(command)
	command.Flags().StringArrayVar(&filters, "filter", nil, "filter NAME=VALUE; repeatable")
	command.Flags().StringVar(&from, "from", "", "first key of the range")
	command.Flags().StringVar(&to, "to", "", "key after the last of the range")
	command.Flags().BoolVar(&all, "all", false, "print all rows")
	return command
}

func newReserve() *cobra.Command {
	var flags requestFlags
	var fields []string
	var key, ticket string
	command := &cobra.Command{
		Use:     "reserve --route ROUTE --key KEY [--field NAME=VALUE]...",
		Short:   "Send a reservation to an entry host and print its outcome",
		Long:    "Take a ticket, unless one is given, send a reservation with it and print the\noutcome. With the same ticket the reservation runs at most once.",
		Example: "  ebonyctl reserve --route reserve-bundle --key bundle-0042",
		Args:    arguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			values, err := parseFields(fields)
			if err != nil {
				return cli.InvalidArguments(command, err)
			}
			ctx, cancel := flags.context(command)
			defer cancel()
			if ticket, err = takeTicket(ctx, flags.client(), ticket); err != nil {
				return err
			}
			reservation := ebonyworks.Reservation{
				Ticket:   ticket,
				Route:    ebonyworks.RouteID(flags.route),
				Customer: ebonyworks.CustomerID(flags.house),
				Key:      key,
				Fields:   values,
			}
			outcome, err := flags.client().Reserve(ctx, reservation, flags.timeout)
			if err != nil {
				return errors.Wrapf(err, "the outcome is unknown; ask with: ebonyctl outcome %s", ticket)
			}
			return printOutcome(command.OutOrStdout(), ticket, outcome)
		},
	}
	flags.register(command)
	command.Flags().StringArrayVar(&fields, "field", nil, "field NAME=VALUE; repeatable")
	command.Flags().StringVar(&key, "key", "", "item to reserve")
	command.Flags().StringVar(&ticket, "ticket", "", "ticket to use instead of a new one")
	_ = command.MarkFlagRequired("key")
	return command
}

func takeTicket(ctx context.Context, client *callerclient.Client, given string) (string, error) {
	if given != "" {
		return given, nil
	}
	ticket, refusal, err := client.Ticket(ctx)
	if refusal != nil {
		return "", refusalError(*refusal)
	}
	return ticket, err
}

func newOutcome() *cobra.Command {
	var host string
	command := &cobra.Command{
		Use:   "outcome TICKET",
		Short: "Print the outcome of an earlier reservation",
		Long:  "Print the outcome of an earlier reservation. Asking about a ticket that was\nnever used makes sure that it never runs.",
		Args:  arguments(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(commandContext(command), extraWait)
			defer cancel()
			client := &callerclient.Client{Base: "http://" + host}
			outcome, err := client.Outcome(ctx, args[0])
			if err != nil {
				return err
			}
			return printOutcome(command.OutOrStdout(), args[0], outcome)
		},
	}
	command.Flags().StringVar(&host, "host", "127.0.0.1:8080", "callers' address of an entry host")
	return command
}

func newWait() *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "wait HOST:PORT...",
		Short: "Wait until entry hosts are ready",
		Args:  arguments(cobra.MinimumNArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(commandContext(command), timeout)
			defer cancel()
			for _, host := range args {
				if err := waitReady(ctx, host); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "how long to wait for all hosts")
	return command
}

func waitReady(ctx context.Context, host string) error {
	client := &callerclient.Client{Base: "http://" + host}
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !client.Ready(ctx) {
		select {
		case <-ctx.Done():
			return errors.Errorf("host %s is not ready in time", host)
		case <-ticker.C:
		}
	}
	return nil
}

func parseFields(texts []string) ([]ebonyworks.Field, error) {
	var fields []ebonyworks.Field
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		if !ok || name == "" {
			return nil, errors.Errorf("%q is not of the form NAME=VALUE", text)
		}
		fields = append(fields, ebonyworks.Field{Name: name, Value: value})
	}
	return fields, nil
}

func refusalError(refusal ebonyworks.Refusal) error {
	text := fmt.Sprintf("refused (%s): %s", refusal.Code, refusal.Message)
	if refusal.RetryAfter > 0 {
		text += "; try again after " + refusal.RetryAfter.String()
	}
	return errors.New(text)
}

func printSearch(out io.Writer, outcome ebonyworks.SearchOutcome, all bool) error {
	if outcome.Refusal != nil {
		return refusalError(*outcome.Refusal)
	}
	answer := outcome.Answer
	shown := answer.Rows
	if !all && len(shown) > maxShownRows {
		shown = shown[:maxShownRows]
	}
	text := fmt.Sprintf("snapshot %d (partition epoch %d), configuration revision %d\n",
		answer.Snapshot.Number, answer.Snapshot.Epoch, answer.Version.Revision)
	if answer.Stale {
		text += "the host can't tell whether its configuration is the newest\n"
	}
	text += fmt.Sprintf("coverage: %d of %d shards\n", len(answer.Coverage.Covered), len(answer.Coverage.Covered)+len(answer.Coverage.Missed))
	for _, miss := range answer.Coverage.Missed {
		text += fmt.Sprintf("  missed %s: %s\n", miss.Shard, miss.Reason)
	}
	text += fmt.Sprintf("rows: %d\n", len(answer.Rows))
	for _, row := range shown {
		text += "  " + row.Key + fieldsText(row.Fields) + "\n"
	}
	if len(shown) < len(answer.Rows) {
		text += fmt.Sprintf("  ... and %d more\n", len(answer.Rows)-len(shown))
	}
	_, err := io.WriteString(out, text)
	return err
}

func fieldsText(fields []ebonyworks.Field) string {
	text := ""
	for _, field := range fields {
		text += " " + field.Name + "=" + field.Value
	}
	return text
}

func printOutcome(out io.Writer, ticket string, outcome ebonyworks.Outcome) error {
	if outcome.Refusal != nil {
		return refusalError(*outcome.Refusal)
	}
	text := "outcome: " + outcomeText(outcome.Kind) + " (" + string(outcome.Code) + ")\n"
	if outcome.Message != "" {
		text += "  " + outcome.Message + "\n"
	}
	if len(outcome.Result) > 0 {
		text += "  result:" + fieldsText(outcome.Result) + "\n"
	}
	if outcome.RetryAfter > 0 {
		text += "  come back after " + outcome.RetryAfter.String() + "\n"
	}
	text += "ticket: " + ticket + "\n"
	_, err := io.WriteString(out, text)
	return err
}

func outcomeText(kind ebonyworks.OutcomeKind) string {
	switch kind {
	case ebonyworks.OutcomeRan:
		return "ran once"
	case ebonyworks.OutcomeNotRun:
		return "did not run and never will"
	default:
		return "unknown: it ran once or not at all"
	}
}
