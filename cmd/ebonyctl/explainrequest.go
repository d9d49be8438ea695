package main

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/transport/explainapi"
)

func newExplainRequest() *cobra.Command {
	var timeout time.Duration
	var method string
	command := &cobra.Command{
		Use:   "explain-request ADDRESS:PORT HOST TARGET",
		Short: "Show what a running ebony-front would do with a request now, without sending it",
		Long: "Show what a running ebony-front would do with a request now, without sending it:\n" +
			"the route, the servers of each shard with what is known of them, the servers one of\n" +
			"which would be chosen, or the refusal. The address is the one of the metrics. HOST is\n" +
			"the host name of the request without a port, TARGET its path and query.",
		Example: "  ebonyctl explain-request 127.0.0.1:9464 shop.example '/stock/?q=7'",
		Args:    arguments(cobra.ExactArgs(3)),
		RunE: func(command *cobra.Command, args []string) error {
			if _, _, err := net.SplitHostPort(args[0]); err != nil {
				return cli.InvalidArguments(command, errors.Errorf("%q is not a host and port", args[0]))
			}
			if timeout <= 0 {
				return cli.InvalidArguments(command, errors.New("--timeout must be positive"))
			}
			query := explainapi.Query(args[1], args[2], method)
			if _, err := explainapi.ParseQuery(query); err != nil {
				return cli.InvalidArguments(command, err)
			}
			return explainRequest(command, args[0], query, timeout)
		},
	}
	command.Flags().DurationVar(&timeout, "timeout", 5*time.Second, "how long to wait for the host")
	command.Flags().StringVar(&method, "method", http.MethodGet, "method of the request")
	return command
}

func explainRequest(command *cobra.Command, address, query string, timeout time.Duration) error {
	parent := command.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	body, err := fetchState(ctx, url.URL{Scheme: "http", Host: address, Path: explainapi.Path, RawQuery: query})
	if err != nil {
		return err
	}
	return printJSON(command, address, body)
}
