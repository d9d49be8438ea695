package search_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/ebonyworks/ebonyworks"
)

// Guards against spans that don't tell which attempt won for a shard and why it was made, or
// that mark two attempts at one shard as winners.
func TestSpansMarkWinnerAndLosers(t *testing.T) {
	cases := map[string]struct {
		first   fault
		verdict ebonyworks.Verdict
		// want lists the attempts for one shard as kind, result and winner or canceled.
		want []string
	}{
		"first wins":   {first: noFault, want: []string{"first served winner"}},
		"hedge wins":   {first: hang, want: []string{"first canceled canceled", "hedge served winner"}},
		"retry wins":   {first: shed, want: []string{"first shed", "retry served winner"}},
		"invalid lost": {first: wrongShard, want: []string{"first invalid", "retry served winner"}},
		"trial wins":   {first: noFault, verdict: ebonyworks.VerdictUntested, want: []string{"trial served winner"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCluster(1)
				f.reportAll(snapshot(3, 1))
				f.verdict = c.verdict
				attempted := make(map[ebonyworks.ShardID]bool)
				f.plan = func(_ ebonyworks.ServerID, search ebonyworks.SubSearch) fault {
					if attempted[search.Shard] {
						return noFault
					}
					attempted[search.Shard] = true
					return c.first
				}
				spans := searchSpans(t, f)
				var tried ebonyworks.ShardID
				if c.verdict == ebonyworks.VerdictUntested {
					tried = f.attempts[0].search.Shard
				}
				assert.ElementsMatch(t, c.want, attemptsAt(spans, tried))
			})
		})
	}
}

// searchSpans runs a search and returns its spans once all attempts have ended.
func searchSpans(t *testing.T, f *fakeCluster) []sdktrace.ReadOnlySpan {
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	coordinator := f.coordinator()
	coordinator.Tracer = provider.Tracer("test")
	outcome := coordinator.Search(context.Background(), ebonyworks.Search{Request: "r1", Route: routeID, Customer: "h", Deadline: time.Now().Add(time.Second)})
	require.Nil(t, outcome.Refusal)
	synctest.Wait()
	return recorder.Ended()
}

// attemptsAt describes the attempts for a shard, or for the first one that is found if
// shard is empty.
func attemptsAt(spans []sdktrace.ReadOnlySpan, shard ebonyworks.ShardID) []string {
	var described []string
	for _, span := range spans {
		if span.Name() != "attempt" {
			continue
		}
		set := attribute.NewSet(span.Attributes()...)
		at, _ := set.Value("shard")
		if shard == "" {
			shard = ebonyworks.ShardID(at.AsString())
		}
		if string(shard) != at.AsString() {
			continue
		}
		kind, _ := set.Value("kind")
		result, _ := set.Value("result")
		text := kind.AsString() + " " + result.AsString()
		if winner, _ := set.Value("winner"); winner.AsBool() {
			text += " winner"
		}
		if canceled, _ := set.Value("canceled"); canceled.AsBool() {
			text += " canceled"
		}
		described = append(described, text)
	}
	return described
}

// instantCluster is a fake cluster whose servers reply at once.
type instantCluster struct {
	*fakeCluster
}

func (i instantCluster) Search(_ context.Context, _ *ebonyworks.Service, _ ebonyworks.Server, sub ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	return ebonyworks.SubSearchReply{Result: ebonyworks.AttemptServed, Request: sub.Request, Snapshot: sub.Snapshot, Shard: sub.Shard}
}

// BenchmarkTracing compares searches without a tracer, with a no-op tracer and with a
// tracer that samples no spans.
func BenchmarkTracing(b *testing.B) {
	never := sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample()))
	tracers := map[string]trace.Tracer{"none": nil, "noop": noop.Tracer{}, "unsampled": never.Tracer("test")}
	for name, tracer := range tracers {
		b.Run(name, func(b *testing.B) {
			f := newFakeCluster(1)
			f.reportAll(snapshot(3, 1))
			coordinator := f.coordinator()
			coordinator.Backend = instantCluster{f}
			coordinator.Tracer = tracer
			b.ReportAllocs()
			for b.Loop() {
				coordinator.Search(context.Background(), ebonyworks.Search{Request: "r1", Route: routeID, Customer: "h", Deadline: time.Now().Add(time.Second)})
			}
		})
	}
}
