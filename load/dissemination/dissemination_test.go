package dissemination_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/load/dissemination"
)

const (
	// bound is the time in which a configuration has to be in force everywhere.
	bound = 5 * time.Second
	// maxCalls are four calls for each of three watchers.
	maxCalls = 12.0
)

// Guards the choice of docs/dissemination.md: the chosen method must reach all
// hosts within the bound, with few platform calls, and must rarely need the
// periodic exchange.
func TestChosenMethod(t *testing.T) {
	methods := dissemination.Methods()
	chosen := methods[len(methods)-1]
	for _, size := range []int{8, 100, 400} {
		for _, loss := range []float64{0, 0.01, 0.05} {
			for _, dead := range []float64{0, 0.05} {
				result := chosen.Summarize(dissemination.Conditions{Size: size, Loss: loss, Dead: dead}, 20)
				assert.Less(t, result.Most, bound)
				assert.LessOrEqual(t, result.Missed, 0.05*float64(size))
				assert.LessOrEqual(t, result.Calls, maxCalls)
			}
		}
	}
}
