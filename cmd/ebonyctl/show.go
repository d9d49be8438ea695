package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/cli"
)

const (
	// maxStatusBytes bounds the state that is read from a host.
	maxStatusBytes = 16 << 20
	statusPath     = "/v1/status"
)

func newShow() *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:     "show HOST:PORT",
		Short:   "Show the current state that a running host holds",
		Long:    "Show the current state that a running host holds. The address is the one where\nthe host accepts callers.",
		Example: "  ebonyctl show 127.0.0.1:8080",
		Args:    arguments(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			if _, _, err := net.SplitHostPort(args[0]); err != nil {
				return cli.InvalidArguments(command, errors.Errorf("%q is not a host and port", args[0]))
			}
			if timeout <= 0 {
				return cli.InvalidArguments(command, errors.New("--timeout must be positive"))
			}
			return show(command, args[0], timeout)
		},
	}
	command.Flags().DurationVar(&timeout, "timeout", 5*time.Second, "how long to wait for the host")
	return command
}

func show(command *cobra.Command, address string, timeout time.Duration) error {
	parent := command.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	status, err := fetchState(ctx, url.URL{Scheme: "http", Host: address, Path: statusPath})
	if err != nil {
		return err
	}
	return printJSON(command, address, status)
}

// printJSON prints the JSON that the host returned, with one field on each line.
func printJSON(command *cobra.Command, address string, body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return errors.Wrapf(err, "host %s didn't return JSON", address)
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(command.OutOrStdout())
	return err
}

// fetchState gets the state of a host.
func fetchState(ctx context.Context, target url.URL) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// A transport of its own ignores the proxies that the environment names.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "get state")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read state")
	case len(body) > maxStatusBytes:
		return nil, errors.Errorf("the state of host %s exceeds %d bytes", target.Host, maxStatusBytes)
	case response.StatusCode != http.StatusOK:
		return nil, errors.Errorf("host %s answered %s: %.500s", target.Host, response.Status, body)
	default:
		return body, nil
	}
}
