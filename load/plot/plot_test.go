package plot_test

import (
	"bytes"
	"encoding/xml"
	"image/png"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks/load/plot"
	"github.com/ebonyworks/ebonyworks/load/report"
)

func result(scenario, policy, phase string) report.Result {
	return report.Result{
		Origin:  report.Origin{User: "Kitakaze", Scenario: scenario, Policy: policy},
		Phase:   phase,
		Latency: report.Latency{P50: 20, P90: 35, P99: 80, P999: 200, Max: 240},
		Timeline: []report.Bucket{
			{At: 0, Goodput: 100, P99: 30}, {At: 0.25, Goodput: 0, P99: 0}, {At: 0.5, Goodput: 90, P99: 40},
		},
	}
}

// Guards against missing, empty or malformed drawings, also for a policy that
// got no answer.
func TestDraw(t *testing.T) {
	directory := t.TempDir()
	none := result("overload", "FixedHedge", report.AllPhases)
	none.Latency, none.Timeline = report.Latency{}, nil
	files, err := plot.Draw(directory, []report.Result{
		result("normal-50", "Adaptive", report.AllPhases),
		result("overload", "Adaptive", "Before"),
		result("overload", "Adaptive", report.AllPhases),
		result("overload", "RoundRobin", report.AllPhases),
		none,
	})
	require.NoError(t, err)
	var names []string
	for _, file := range files {
		names = append(names, filepath.Base(file))
		content, err := os.ReadFile(file)
		require.NoError(t, err)
		check(t, file, content)
	}
	assert.Equal(t, []string{
		"Kitakaze-normal-50-latency.png", "Kitakaze-normal-50-latency.svg",
		"Kitakaze-overload-latency.png", "Kitakaze-overload-latency.svg",
		"Kitakaze-overload-goodput.png", "Kitakaze-overload-goodput.svg",
		"Kitakaze-overload-p99.png", "Kitakaze-overload-p99.svg",
	}, names)
}

func check(t *testing.T, file string, content []byte) {
	if strings.HasSuffix(file, ".png") {
		_, err := png.Decode(bytes.NewReader(content))
		assert.NoError(t, err, file)
		return
	}
	decoder := xml.NewDecoder(bytes.NewReader(content))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		if !assert.NoError(t, err, file) {
			return
		}
	}
}
