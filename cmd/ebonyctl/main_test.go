package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks/cli"
)

// execute runs the tool and returns its exit status and both outputs.
func execute(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	status := run(args, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// Guards against commands that fail on valid input, and against output that
// differs from run to run.
func TestCommands(t *testing.T) {
	first, second := filepath.Join(t.TempDir(), "a"), filepath.Join(t.TempDir(), "b")
	tests := []struct {
		args []string
		want string
	}{
		{[]string{"print", "retazos", "--output", first}, ""},
		{[]string{"print", "retazos", "--output", second, "--base", first, "--first", "127.0.0.1:30000"}, ""},
		{[]string{"print", "kitakaze"}, "// Configuration/Parts/Catalogue/donor-intake\n{\n"},
		{[]string{"check", first, "--settings", "../../examples/ebonyd.json"}, "valid, revision 1, digest "},
		{[]string{"compare", first, second}, "revision 1 -> 2\n~ Catalogue/aviso-gremio.Services[aviso-gremio-01].Servers[aviso-gremio-01-a]: 127.0.0.1:21105 in Heredia -> 127.0.0.1:30105 in Heredia\n"},
		{[]string{"compare", first, first}, "no differences"},
		{[]string{"explain", first, "house-stock"}, "Connections per host:  10 at most"},
		{nil, "Exit status"},
		{[]string{"show", "--help"}, "--timeout"},
	}
	for _, test := range tests {
		status, stdout, stderr := execute(test.args...)
		assert.Equal(t, cli.ExitOK, status, stderr)
		assert.Empty(t, stderr)
		assert.Contains(t, stdout, test.want)
		_, again, _ := execute(test.args...)
		assert.Equal(t, stdout, again)
	}
}

// Guards against failures that scripts can't tell apart, and against a check
// that stops at its first mistake.
func TestExitStatus(t *testing.T) {
	directory := t.TempDir()
	status, _, _ := execute("print", "kitakaze", "--output", directory)
	require.Equal(t, cli.ExitOK, status)
	broken := t.TempDir()
	text, err := os.ReadFile(filepath.Join(directory, "Configuration", "Head"))
	require.NoError(t, err)
	require.NoError(t, os.Mkdir(filepath.Join(broken, "Configuration"), 0o755))
	wrong := strings.NewReplacer(`"Revision": 1`, `"Revision": 0`, `"Routes"`, `"Others"`).Replace(string(text))
	require.NoError(t, os.WriteFile(filepath.Join(broken, "Configuration", "Head"), []byte(wrong), 0o600))
	settingsFile := filepath.Join(broken, "ebonyd.json")
	require.NoError(t, os.WriteFile(settingsFile, []byte("{}"), 0o600))
	none := filepath.Join(directory, "none")
	tests := []struct {
		args   []string
		status int
		want   []string
	}{
		{[]string{"check", broken, none, "--settings", settingsFile}, cli.ExitInvalid, []string{
			broken + ": Revision: must be positive\n",
			broken + `: Parts: must list the part "Routes"`,
			settingsFile + ": Host: is missing\n",
			"read head",
		}},
		{[]string{"check", none}, cli.ExitFailure, []string{"read head"}},
		{[]string{"check"}, cli.ExitInvalid, []string{"nothing to check"}},
		{[]string{"compare", directory}, cli.ExitInvalid, []string{"accepts 2 arg(s), received 1"}},
		{[]string{"explain", directory, "none"}, cli.ExitInvalid, []string{`no route "none"`}},
		{[]string{"print", "other"}, cli.ExitInvalid, []string{`invalid argument "other"`}},
		{[]string{"print", "retazos", "--first", "host:1"}, cli.ExitInvalid, []string{"--first must be an IP address and port"}},
		{[]string{"print", "retazos", "--first", "127.0.0.1:65500"}, cli.ExitInvalid, []string{"Address: must be an IP address and port"}},
		{[]string{"print", "retazos", "--base", directory, "--revision", "1"}, cli.ExitInvalid, []string{"Base.Revision: must be less than Revision, 1 >= 1"}},
		{[]string{"print", "--unknown"}, cli.ExitInvalid, []string{"unknown flag: --unknown"}},
		{[]string{"unknown"}, cli.ExitInvalid, []string{`unknown command "unknown"`}},
		{[]string{"show", "host"}, cli.ExitInvalid, []string{`"host" is not a host and port`}},
		{[]string{"show", "127.0.0.1:1", "--timeout", "0s"}, cli.ExitInvalid, []string{"--timeout must be positive"}},
	}
	for _, test := range tests {
		status, stdout, stderr := execute(test.args...)
		assert.Equal(t, test.status, status, test.args)
		assert.Empty(t, stdout)
		for _, want := range test.want {
			assert.Contains(t, stderr, want)
		}
	}
}

// Guards against a state that is shown in another order or with other numbers,
// and against failures of the host that look like its state.
func TestShow(t *testing.T) {
	answers := map[string]string{"status": `{"Revision":18446744073709551615,"B":{"A":[]}}`, "text": "not JSON"}
	answer := "status"
	code := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		assert.Equal(t, statusPath, request.URL.Path)
		w.WriteHeader(code)
		_, _ = w.Write([]byte(answers[answer]))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	status, stdout, _ := execute("show", address)
	assert.Equal(t, cli.ExitOK, status)
	assert.Equal(t, "{\n  \"Revision\": 18446744073709551615,\n  \"B\": {\n    \"A\": []\n  }\n}\n", stdout)
	answer = "text"
	status, _, stderr := execute("show", address)
	assert.Equal(t, cli.ExitFailure, status)
	assert.Contains(t, stderr, "didn't return JSON")
	code = http.StatusServiceUnavailable
	status, _, stderr = execute("show", address)
	assert.Equal(t, cli.ExitFailure, status)
	assert.Contains(t, stderr, "answered 503 Service Unavailable: not JSON")
	server.Close()
	status, _, stderr = execute("show", address)
	assert.Equal(t, cli.ExitFailure, status)
	assert.Contains(t, stderr, "get state")
}
