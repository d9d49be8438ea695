package recording_test

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
	"github.com/ebonyworks/ebonyworks/recording"
)

// stated are the outcomes that a scenario must reach, written by hand.
type stated struct {
	// Complete is the least number of complete answers, Partial the largest
	// number of others.
	Complete, Partial int
	// MayMiss are the reasons for which shards may be missed.
	MayMiss []string `json:",omitempty"`
	// Refused searches have the code.
	Refused     int    `json:",omitempty"`
	RefusalCode string `json:",omitempty"`
	// MaxCrashed bounds the servers that went away under a search.
	MaxCrashed           int `json:",omitempty"`
	Ran, NotRun, Unknown int
}

// Guards against code that no longer reaches the outcomes which the recorded
// replies of servers allow, and against answers that these replies don't bear out.
func TestRecordingsReachStatedOutcomes(t *testing.T) {
	scenarios := []string{"normal", "straggler", "killed", "wrong-replies", "snapshots", "drain", "closed", "crash"}
	for _, scenario := range scenarios {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(scenario+"/seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newReplay(t, scenario, seed, false)
					r.run()
					r.check(readStated(t, scenario))
				})
			})
		}
	}
}

// Guards against a host that relies on its transport to notice replies for
// another snapshot or shard.
func TestForeignRepliesPassedOnByTheTransport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(t, "wrong-replies", 1, true)
		r.run()
		r.check(readStated(t, "wrong-replies"))
		require.NotZero(t, r.foreign.Load())
	})
}

func readStated(t *testing.T, scenario string) stated {
	text, err := os.ReadFile(filepath.Join("testdata", scenario, "outcomes.json"))
	require.NoError(t, err)
	var outcomes stated
	require.Empty(t, jsonc.Decode(text, &outcomes))
	return outcomes
}

func readRecordings(t *testing.T, scenario string) []*recording.Recording {
	paths, err := filepath.Glob(filepath.Join("testdata", scenario, "*.jsonl"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	var recordings []*recording.Recording
	for _, path := range paths {
		file, err := os.Open(path)
		require.NoError(t, err)
		read, err := recording.Read(file)
		require.NoError(t, err, path)
		require.NoError(t, file.Close())
		require.True(t, read.Closed && read.Left == 0, "%s is incomplete", path)
		recordings = append(recordings, read)
	}
	return recordings
}

// run starts the hosts, sends all requests and stops the hosts.
func (r *replay) run() {
	start := time.Now()
	r.player = recording.NewPlayer(start, r.recordings...)
	ctx, cancel := context.WithCancel(context.Background())
	var running, drivers sync.WaitGroup
	results := make([][]recording.Result, len(r.recordings))
	for i, read := range r.recordings {
		running.Go(func() { r.hosts[i].Run(ctx) })
		offset := recording.Offset(r.recordings, i)
		drivers.Go(func() { results[i] = read.Drive(ctx, r.hosts[i], start.Add(offset)) })
	}
	drivers.Wait()
	cancel()
	running.Wait()
	for i := range results {
		offset := recording.Offset(r.recordings, i)
		for _, result := range results[i] {
			result.Call.At += offset
			r.results = append(r.results, result)
		}
	}
	r.played = r.player.Played()
}

func (r *replay) check(want stated) {
	got := stated{MayMiss: want.MayMiss, RefusalCode: want.RefusalCode, MaxCrashed: want.MaxCrashed}
	for _, result := range r.results {
		switch {
		case result.Call.Kind == recording.ReserveKind:
			r.countReservation(&got, result)
		case result.Search.Refusal != nil:
			got.Refused++
			assert.EqualValues(r.t, want.RefusalCode, result.Search.Refusal.Code, "%s: %s", result.Request, result.Search.Refusal.Message)
		default:
			r.checkAnswer(result, want)
			if result.Search.Answer.Coverage.Complete() {
				got.Complete++
			} else {
				got.Partial++
			}
		}
	}
	assert.GreaterOrEqual(r.t, got.Complete, want.Complete, "complete answers")
	assert.LessOrEqual(r.t, got.Partial, want.Partial, "partial answers")
	assert.Equal(r.t, want.Complete+want.Partial+want.Refused, got.Complete+got.Partial+got.Refused, "searches")
	assert.Equal(r.t, want.Refused, got.Refused, "refused searches")
	assert.Equal(r.t, []int{want.Ran, want.NotRun, want.Unknown}, []int{got.Ran, got.NotRun, got.Unknown}, "Ran, NotRun, Unknown")
	r.checkAttempts(want)
	sources := make(map[recording.Source]int)
	for _, attempt := range r.played {
		sources[attempt.Source]++
	}
	r.t.Logf("complete %d, partial %d, refused %d; recorded %d, derived %d, unanswered %d", got.Complete, got.Partial, got.Refused,
		sources[recording.Recorded], sources[recording.Derived], sources[recording.Unanswered])
}

// checkAnswer compares an answer with the replies that the host was given.
func (r *replay) checkAnswer(result recording.Result, want stated) {
	answer := result.Search.Answer
	route, _ := r.configuration.Route(result.Call.Route)
	catalogue, _ := r.configuration.Catalogue(route.Catalogue)
	partition, ok := catalogue.Partition(answer.Snapshot.Epoch)
	require.True(r.t, ok)
	var needed, stated []ebonyworks.ShardID
	var rows []ebonyworks.Row
	for _, shard := range partition.Shards {
		needed = append(needed, shard.ID)
	}
	for _, shard := range answer.Coverage.Covered {
		stated = append(stated, shard)
		reply := r.reply(result, shard)
		if assert.NotNil(r.t, reply, "%s: no reply covers %s", result.Request, shard) {
			rows = append(rows, reply.Reply.Rows.Kept...)
		}
	}
	for _, miss := range answer.Coverage.Missed {
		stated = append(stated, miss.Shard)
		assert.Contains(r.t, want.MayMiss, string(miss.Reason), "%s misses %s", result.Request, miss.Shard)
		assert.Nil(r.t, r.reply(result, miss.Shard), "%s: a reply covers the missed %s", result.Request, miss.Shard)
		if miss.Reason == ebonyworks.MissInvalidReply {
			invalid := func(a recording.Played) bool {
				return a.Request == result.Request && a.Shard == miss.Shard && a.Result == ebonyworks.AttemptInvalid
			}
			assert.True(r.t, slices.ContainsFunc(r.played, invalid), "%s: no invalid reply for %s", result.Request, miss.Shard)
		}
	}
	assert.ElementsMatch(r.t, needed, stated, "%s: each shard is covered or missed", result.Request)
	assert.ElementsMatch(r.t, rows, answer.Rows, "%s: rows of the covering replies", result.Request)
	number := strconv.FormatUint(uint64(answer.Snapshot.Number), 10)
	for _, row := range answer.Rows {
		assert.Contains(r.t, row.Fields, ebonyworks.Field{Name: "Snapshot", Value: number}, "%s: row of another snapshot", result.Request)
	}
}

// reply returns a valid reply that arrived before the answer was sealed.
func (r *replay) reply(result recording.Result, shard ebonyworks.ShardID) *recording.Played {
	sealed := result.Call.At + result.Latency
	for i, attempt := range r.played {
		reply := attempt.Reply
		fits := attempt.Kind == recording.SearchKind && attempt.Request == result.Request && attempt.Shard == shard &&
			attempt.Snapshot == result.Search.Answer.Snapshot && attempt.At+attempt.Latency <= sealed
		if fits && attempt.Result == ebonyworks.AttemptServed && reply.Snapshot == attempt.Snapshot && reply.Shard == shard {
			return &r.played[i]
		}
	}
	return nil
}

func (r *replay) countReservation(got *stated, result recording.Result) {
	require.Nil(r.t, result.Outcome.Refusal, "%s", result.Request)
	var last *recording.Played
	for i, attempt := range r.played {
		if attempt.Kind == recording.ReserveKind && attempt.Key == result.Call.Key {
			last = &r.played[i]
		}
	}
	switch result.Outcome.Kind {
	case ebonyworks.OutcomeRan:
		got.Ran++
		assert.True(r.t, last != nil && last.Result == ebonyworks.AttemptServed, "%s: Ran without a reply", result.Call.Key)
	case ebonyworks.OutcomeNotRun:
		got.NotRun++
		assert.True(r.t, last == nil || last.Result.ProvesNotRun(), "%s: NotRun without proof", result.Call.Key)
	default:
		got.Unknown++
	}
}

// checkAttempts checks that nothing followed a reservation's attempt that can
// have run, and counts the servers that searches crashed.
func (r *replay) checkAttempts(want stated) {
	mayHaveRun := make(map[string]bool)
	crashed := make(map[ebonyworks.ServerID]bool)
	for _, attempt := range r.played {
		if attempt.Kind == recording.ReserveKind {
			assert.False(r.t, mayHaveRun[attempt.Key], "%s was sent again to %s after a result that proves nothing", attempt.Key, attempt.Server)
			mayHaveRun[attempt.Key] = !attempt.Result.ProvesNotRun()
		}
		if attempt.Kind == recording.SearchKind && attempt.Result == ebonyworks.AttemptLost {
			crashed[attempt.Server] = true
		}
	}
	assert.LessOrEqual(r.t, len(crashed), want.MaxCrashed, "crashed servers: %v", crashed)
}
