package arrival_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/load/arrival"
)

func times(seed uint64, perSecond float64, end time.Duration) []time.Duration {
	process := arrival.New(rand.New(rand.NewPCG(seed, 0)), perSecond)
	var all []time.Duration
	for {
		at, ok := process.Next(end)
		if !ok {
			return all
		}
		all = append(all, at)
	}
}

// Guards against arrivals that are evenly spaced, have another rate, or can't
// be repeated from the seed.
func TestArrivalsArePoisson(t *testing.T) {
	const rate = 500
	all := times(7, rate, 100*time.Second)
	assert.Equal(t, all, times(7, rate, 100*time.Second))
	assert.NotEqual(t, all, times(8, rate, 100*time.Second))
	// The count has a standard deviation of the root of its mean.
	assert.InDelta(t, rate*100, len(all), 4*math.Sqrt(rate*100))
	// The gaps of an exponential distribution are larger than their mean with
	// probability 1/e.
	var long int
	for i := 1; i < len(all); i++ {
		if all[i]-all[i-1] > time.Second/rate {
			long++
		}
	}
	assert.InDelta(t, 1/math.E, float64(long)/float64(len(all)), 0.01)
}

// Guards against an endless loop at a rate of zero or a tiny rate.
func TestNoArrivals(t *testing.T) {
	for _, rate := range []float64{0, -1, 1e-12} {
		assert.Empty(t, times(1, rate, time.Hour))
	}
}
