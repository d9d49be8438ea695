package server_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/standin/server"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
)

// Guards against a reservation that runs twice, or that ran although the
// result proves that it did not, while a server is killed, drained, restarted
// and made faulty at random moments.
func TestOnceUnderFaults(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	running, address, client := started(t, server.Model{}, backendclient.Options{})
	// Requests that find the server away end at once, so only the others count.
	const workers, wanted, most = 8, 100, 20_000
	results := make([][]ebonyworks.AttemptResult, workers)
	var work sync.WaitGroup
	for worker := range workers {
		work.Go(func() {
			reached := 0
			for i := 0; i < most && reached < wanted; i++ {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				got := client.Reserve(ctx, service, address, reservationOf(requestID(worker, i)))
				cancel()
				results[worker] = append(results[worker], got.Result)
				if got.Result != ebonyworks.AttemptUnreachable {
					reached++
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	for finished := false; !finished; {
		select {
		case <-done:
			finished = true
		case <-time.After(time.Duration(5+random.IntN(40)) * time.Millisecond):
			disturb(t, running, random)
		}
	}
	seen := make(map[ebonyworks.AttemptResult]int)
	for worker := range workers {
		for i, result := range results[worker] {
			seen[result]++
			count := 0
			for _, execution := range running.Executions(requestID(worker, i)) {
				count += execution.Started
			}
			assert.LessOrEqual(t, count, 1, "seed %d", seed)
			if result.ProvesNotRun() {
				assert.Zero(t, count, "seed %d, result %d", seed, result)
			}
			if result == ebonyworks.AttemptServed {
				assert.Equal(t, 1, count, "seed %d", seed)
			}
		}
	}
	t.Logf("requests by result: %v", seen)
}

func requestID(worker, i int) ebonyworks.RequestID {
	return ebonyworks.RequestID(strconv.Itoa(worker) + "-" + strconv.Itoa(i))
}

// disturb changes the server at random and makes sure that it is started.
func disturb(t *testing.T, running *server.Server, random *rand.Rand) {
	switch random.IntN(5) {
	case 0:
		running.Kill(0)
	case 1:
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		running.Drain(ctx)
		cancel()
	case 2:
		points := []server.ClosePoint{server.CloseBefore, server.CloseDuring, server.CloseAfter, server.CloseExecuted}
		running.SetFaults(server.Faults{Close: points[random.IntN(len(points))], CloseShare: 0.1})
	case 3:
		running.SetFaults(server.Faults{Reply: server.TruncatedReply, ReplyShare: 0.2, Frozen: random.IntN(4) == 0})
	default:
		running.SetFaults(server.Faults{})
	}
	if running.State().State == server.Stopped {
		_ = running.Restart()
	}
}
