package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
)

const settings = `{
	"User": "Kitakaze", "MeanServiceTime": "20ms", "DistinctQueries": 5,
	"Houses": [{"Name": "sapporo", "Weight": 1}],
	"Routes": [{"Name": "search-hair", "Weight": 3, "Filter": "Shade"}, {"Name": "reserve-bundle", "Weight": 1}],
	"Scenarios": [
		{"Name": "short", "Prime": 50, "Phases": [{"Name": "One", "Percent": 20, "Duration": "300ms"}, {"Name": "Two", "Percent": 20, "Duration": "300ms"}],
			"Setup": {"SnapshotPeriod": "1s", "KillHosts": "Sapporo"}},
		{"Name": "faulty", "Phases": [{"Name": "One", "Percent": 20, "Duration": "10ms"}], "Faults": [{"Kind": "Kill"}]},
	],
}`

// files writes a settings file and a printed configuration.
func files(t *testing.T, text string) []string {
	directory := t.TempDir()
	publication, problems := kitakaze.Plan(configplan.Addresses{}).Publish(1, ebonyworks.ConfigurationVersion{})
	require.Empty(t, problems)
	require.NoError(t, configplan.Directory(filepath.Join(directory, "configuration")).Write(publication))
	path := filepath.Join(directory, "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return []string{"--settings", path, "--configuration", filepath.Join(directory, "configuration")}
}

func execute(t *testing.T, args ...string) (status int, stdout, stderr string) {
	var out, failures bytes.Buffer
	status = run(t.Context(), args, &out, &failures)
	return status, out.String(), failures.String()
}

// newHost returns a fake entry host. A faulty one answers without any shard.
func newHost(t *testing.T, faulty bool) string {
	configuration, problems := kitakaze.Plan(configplan.Addresses{}).Configuration()
	require.Empty(t, problems)
	var shards []string
	if !faulty {
		for _, shard := range configuration.Catalogues[0].Partitions[0].Shards {
			shards = append(shards, fmt.Sprintf("%q", shard.ID))
		}
	}
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/search":
			fmt.Fprintf(w, `{"Snapshot": {"Number": 1, "Epoch": 1}, "Digest": %q, "Coverage": {"Covered": [%s]}}`,
				strings.Repeat("0", 64), strings.Join(shards, ","))
		case "/v1/tickets":
			fmt.Fprint(w, `{"Ticket": "t"}`)
		case "/v1/reservations":
			fmt.Fprint(w, `{"Outcome": "Ran", "Code": "done"}`)
		}
	}))
	t.Cleanup(host.Close)
	return host.URL
}

// Guards against a run whose results can't be printed and drawn.
func TestRun(t *testing.T) {
	output := t.TempDir()
	args := append([]string{"run", "--scenario", "short", "--host", newHost(t, false), "--output", output}, files(t, settings)...)
	status, stdout, stderr := execute(t, args...)
	require.Equal(t, cli.ExitOK, status, stderr)
	assert.Contains(t, stdout, "reservations Ran")
	assert.Contains(t, stderr, `"Event":7502`)
	file := filepath.Join(output, resultsName)
	status, table, stderr := execute(t, "table", file)
	require.Equal(t, cli.ExitOK, status, stderr)
	assert.Equal(t, stdout, table)
	status, drawn, stderr := execute(t, "plot", file, "--output", filepath.Join(output, "plots"))
	require.Equal(t, cli.ExitOK, status, stderr)
	assert.Len(t, strings.Fields(drawn), 6)
}

// Guards against a check in CI that passes although answers are wrong.
func TestViolationsFail(t *testing.T) {
	args := append([]string{"run", "--scenario", "short", "--host", newHost(t, true), "--output", t.TempDir()}, files(t, settings)...)
	status, stdout, stderr := execute(t, args...)
	assert.Equal(t, cli.ExitFailure, status)
	assert.Contains(t, stdout, "VIOLATIONS shards_not_divided")
	assert.Contains(t, stderr, "contradict")
}

// Guards against exit statuses other than documented and against mistakes that
// aren't listed.
func TestExitStatus(t *testing.T) {
	valid := files(t, settings)
	wrong := files(t, strings.Replace(strings.Replace(settings, `"20ms"`, `"0s"`, 1), "search-hair", "no-route", 1))
	tests := []struct {
		name   string
		args   []string
		status int
		output string
	}{
		{"list", append([]string{"list"}, valid...), cli.ExitOK, "short\nfaulty\n"},
		{"setup", append([]string{"setup", "--scenario", "short"}, valid...), cli.ExitOK, "SnapshotPeriod=1s\n"},
		{"wrong settings", append([]string{"list"}, wrong...), cli.ExitInvalid, "MeanServiceTime: must be from 1µs"},
		{"second mistake", append([]string{"list"}, wrong...), cli.ExitInvalid, "Routes[0].Name: no route \"no-route\""},
		{"unknown scenario", append([]string{"setup", "--scenario", "x"}, valid...), cli.ExitInvalid, "no scenario \"x\""},
		{"no target", append([]string{"run", "--scenario", "short"}, valid...), cli.ExitInvalid, "either --host or --direct"},
		{"unknown flag", []string{"list", "--x"}, cli.ExitInvalid, "unknown flag"},
		{"missing file", []string{"table", "/nonexistent"}, cli.ExitFailure, "open results"},
		{"faults without stand-ins", append([]string{"run", "--scenario", "faulty", "--host", newHost(t, false)}, valid...), cli.ExitFailure, "no stand-ins"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, stdout, stderr := execute(t, test.args...)
			assert.Equal(t, test.status, status)
			assert.Contains(t, stdout+stderr, test.output)
		})
	}
}
