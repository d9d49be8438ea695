// Package dissemination compares ways to tell all entry hosts of a new
// configuration, in a model of messages without sockets. docs/dissemination.md
// has its results.
package dissemination

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Sizes in bytes and times of the model of dissemination.
const (
	modelExchange  = 300
	modelDocuments = 9000
	modelStep      = 3 * time.Millisecond
	modelPeriod    = time.Second
	modelRetry     = 300 * time.Millisecond
	modelWatchers  = 3
)

// Method is a way to spread one change. All methods but direct watches also
// have the periodic exchange of each host with a random peer.
type Method struct {
	// Name describes the method in tables.
	Name string
	// direct makes every host watch the service.
	direct bool
	// gossipSteps is the number of steps in which each reached host sends to
	// one random peer; counted from the start of the change.
	gossipSteps func(size int) int
	// fanout is the number of random peers that each reached host tells once.
	fanout int
	// ring is the number of neighbors on each side that each reached host
	// tells: at once, or after the gossip steps if there are any.
	ring int
	// checked goes on along the ring until a reached host is met on both sides.
	checked bool
}

func logSteps(extra int) func(int) int {
	return func(size int) int { return int(math.Ceil(math.Log2(float64(size)/modelWatchers))) + extra }
}

// Methods returns the methods that are compared; the last one is in use.
func Methods() []Method {
	return []Method{
		{Name: "direct watches", direct: true},
		{Name: "periodic push-pull only"},
		{Name: "push, fanout 3", fanout: 3},
		{Name: "push, fanout 6", fanout: 6},
		{Name: "gossip log2+1 steps, ring 2 (opportunistic)", gossipSteps: logSteps(1), ring: 2},
		{Name: "gossip log2+1 steps, ring 4 (opportunistic)", gossipSteps: logSteps(1), ring: 4},
		{Name: "gossip log2+1 steps, checked ring", gossipSteps: logSteps(1), checked: true},
		{Name: "push fanout 2 and ring 2 at once", fanout: 2, ring: 2},
	}
}

// spreading is one run of the model.
type spreading struct {
	method   Method
	random   *rand.Rand
	loss     float64
	dead     []bool
	reached  []bool
	fetching []bool
	// met tells for each host and side whether a reached host was met there.
	met      [][2]bool
	missing  int
	queue    timeline
	now      time.Duration
	messages int
	bytes    int
	calls    int
}

type moment struct {
	at     time.Duration
	number int
	do     func()
}

// timeline is a heap of moments.
type timeline []moment

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].number < t[j].number)
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(moment)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// result is what one run measured.
type result struct {
	last time.Duration
	// missed is the number of hosts that weren't reached.
	missed                 int
	messages, bytes, calls int
}

func (s *spreading) after(d time.Duration, do func()) {
	heap.Push(&s.queue, moment{at: s.now + d, number: len(s.queue), do: do})
}

func (s *spreading) latency() time.Duration {
	return 500*time.Microsecond + time.Duration(s.random.Float64()*float64(1500*time.Microsecond))
}

func (s *spreading) lost() bool { return s.random.Float64() < s.loss }

// spreadOnce runs the model once, with or without the periodic exchanges.
func spreadOnce(m Method, conditions Conditions, seed uint64, periodic bool) result {
	size := conditions.Size
	s := &spreading{method: m, random: rand.New(rand.NewPCG(seed, 7)), loss: conditions.Loss}
	s.dead, s.reached, s.fetching, s.met = make([]bool, size), make([]bool, size), make([]bool, size), make([][2]bool, size)
	for _, host := range s.random.Perm(size)[:int(math.Ceil(conditions.Dead*float64(size)))] {
		s.dead[host] = true
	}
	watchers := modelWatchers
	if m.direct {
		watchers = size
	}
	for _, host := range s.random.Perm(size) {
		if s.dead[host] {
			continue
		}
		s.missing++
		if watchers > 0 {
			watchers--
			s.watch(host)
		}
		if !m.direct && periodic {
			s.after(time.Duration(s.random.Float64()*float64(modelPeriod)), func() { s.periodic(host) })
		}
	}
	for s.missing > 0 && len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(moment)
		s.now = next.at
		next.do()
	}
	last := s.now
	// Messages that are still to be sent count as well.
	for periodic && len(s.queue) > 0 && !m.direct && s.now < last+modelRetry {
		next := heap.Pop(&s.queue).(moment)
		s.now = next.at
		next.do()
	}
	return result{last: last, missed: s.missing, messages: s.messages, bytes: s.bytes, calls: s.calls}
}

// watch models a watch that returns, and the reading of the changed part.
func (s *spreading) watch(host int) {
	s.calls += 2
	s.bytes += modelDocuments
	if s.lost() {
		s.after(time.Duration((0.5+s.random.Float64())*float64(modelPeriod)), func() { s.watch(host) })
		return
	}
	s.after(4*s.latency(), func() { s.reach(host) })
}

// periodic is the exchange that each host makes anyway. It isn't counted.
func (s *spreading) periodic(host int) {
	s.after(modelPeriod, func() { s.periodic(host) })
	peer := s.other(host)
	if s.dead[peer] || s.lost() {
		return
	}
	learner, source := peer, host
	if s.reached[peer] {
		learner, source = host, peer
	}
	if s.reached[source] && !s.reached[learner] && !s.fetching[learner] {
		s.after(2*s.latency(), func() { s.fetch(learner) })
	}
}

func (s *spreading) other(host int) int {
	peer := s.random.IntN(len(s.dead) - 1)
	if peer >= host {
		peer++
	}
	return peer
}

// tell sends the mark, after which the receiver fetches the documents. Side is
// 0 or 1 for ring neighbors and negative for random peers.
func (s *spreading) tell(from, to, side int) {
	s.messages++
	s.bytes += modelExchange
	if s.dead[to] || s.lost() {
		return
	}
	s.after(s.latency(), func() {
		s.messages++
		s.bytes += modelExchange
		if side >= 0 {
			s.met[to][1-side] = true
		}
		if s.reached[to] && side >= 0 && !s.lost() {
			s.after(s.latency(), func() { s.met[from][side] = true })
		}
		s.fetch(to)
	})
}

// fetch models the fetch of head and part from the host that told.
func (s *spreading) fetch(host int) {
	if s.reached[host] || s.fetching[host] {
		return
	}
	s.fetching[host] = true
	s.messages += 4
	s.bytes += modelDocuments
	if twice := 1 - (1-s.loss)*(1-s.loss); s.random.Float64() < twice {
		s.after(modelRetry, func() {
			s.fetching[host] = false
			s.fetch(host)
		})
		return
	}
	s.after(4*s.latency(), func() { s.reach(host) })
}

func (s *spreading) reach(host int) {
	if s.reached[host] {
		return
	}
	s.reached[host] = true
	s.missing--
	for range s.method.fanout {
		s.tell(host, s.other(host), -1)
	}
	end := time.Duration(0)
	if s.method.gossipSteps != nil {
		end = max(0, time.Duration(s.method.gossipSteps(len(s.dead)))*2*modelStep-s.now)
		s.gossip(host, s.now+end)
	}
	if s.method.ring > 0 || s.method.checked {
		s.after(end, func() { s.correct(host, 1) })
	}
}

// gossip tells one random peer in each step until the end of the phase.
func (s *spreading) gossip(host int, end time.Duration) {
	if s.now >= end {
		return
	}
	s.tell(host, s.other(host), -1)
	s.after(modelStep, func() { s.gossip(host, end) })
}

// correct tells the ring neighbors at the distance, then those further away.
func (s *spreading) correct(host, distance int) {
	size := len(s.dead)
	if distance > size/2 || (!s.method.checked && distance > s.method.ring) {
		return
	}
	met := s.met[host]
	if s.method.checked && met[0] && met[1] {
		return
	}
	if !s.method.checked || !met[0] {
		s.tell(host, (host+distance)%size, 0)
	}
	if !s.method.checked || !met[1] {
		s.tell(host, (host-distance+size)%size, 1)
	}
	if s.method.checked || s.method.gossipSteps != nil {
		s.after(modelStep, func() { s.correct(host, distance+1) })
		return
	}
	s.correct(host, distance+1)
}

// Conditions are what a change meets.
type Conditions struct {
	// Size is the number of hosts.
	Size int
	// Loss is the share of messages that are lost.
	Loss float64
	// Dead is the share of hosts that are dead and believed alive.
	Dead float64
}

// Summary is what many runs of one method measured.
type Summary struct {
	// P50, P99 and Most are the times to the last host that can be reached.
	P50, P99, Most time.Duration
	// Missed is the mean number of hosts that the spread alone doesn't reach.
	Missed float64
	// Messages and Bytes are means for each host, Calls the mean number of calls
	// to the configuration service.
	Messages, Bytes, Calls float64
}

// Summarize runs the method with the seeds from 1 to the given number.
func (m Method) Summarize(conditions Conditions, seeds int) Summary {
	var times []time.Duration
	var total Summary
	size := float64(conditions.Size)
	for seed := range seeds {
		run := spreadOnce(m, conditions, uint64(seed+1), true)
		alone := spreadOnce(m, conditions, uint64(seed+1), false)
		times = append(times, run.last)
		total.Missed += float64(alone.missed) / float64(seeds)
		total.Messages += float64(run.messages) / float64(seeds) / size
		total.Bytes += float64(run.bytes) / float64(seeds) / size
		total.Calls += float64(run.calls) / float64(seeds)
	}
	slices.Sort(times)
	total.P50 = times[len(times)/2]
	total.P99 = times[(len(times)*99)/100]
	total.Most = times[len(times)-1]
	return total
}
