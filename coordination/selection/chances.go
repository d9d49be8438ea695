package selection

import "github.com/ebonyworks/ebonyworks"

var _ ebonyworks.PredictableSelection = (*Selector)(nil)

// Chances returns the probability with which Select chooses each candidate. It is exact:
// it sums over all samples that Select can draw, with the tiers, the inclusion, the costs
// and the comparison of Select itself. It draws no random numbers, so that it doesn't affect
// later choices.
func (s *Selector) Chances(candidates []ebonyworks.Candidate) []float64 {
	chances := make([]float64, len(candidates))
	local, remote := s.contenders(candidates)
	noneIncluded := addChances(chances, local, remote, 1)
	if noneIncluded > 0 {
		// Select excludes none then.
		local.includeAll()
		remote.includeAll()
		addChances(chances, local, remote, noneIncluded)
	}
	return chances
}

// contender is a candidate of the best tier.
type contender struct {
	candidate *ebonyworks.Candidate
	index     int
	cost      float64
	// inclusion is the probability with which a call considers the candidate.
	inclusion float64
}

// group holds the contenders of the host's own failure domain, or those of the others.
// Select draws two of each group.
type group []contender

// contenders returns the candidates that Select samples.
func (s *Selector) contenders(candidates []ebonyworks.Candidate) (local, remote group) {
	assumed := assumptions{latency: averageLatency(candidates)}
	from := bestTier(candidates)
	for i := range candidates {
		candidate := &candidates[i]
		if !from.inTier(candidate) {
			continue
		}
		one := contender{candidate: candidate, index: i, cost: s.cost(candidate, assumed), inclusion: inclusion(candidates, i)}
		if candidate.SameDomain {
			local = append(local, one)
		} else {
			remote = append(remote, one)
		}
	}
	return local, remote
}

// addChances adds the probabilities, times the factor, with which Select chooses the
// contenders. It returns the probability that none is considered.
func addChances(chances []float64, local, remote group, factor float64) float64 {
	localWins, noLocal := local.wins()
	remoteWins, noRemote := remote.wins()
	for i := range local {
		chances[local[i].index] += factor * localWins[i] * noRemote
		for j := range remote {
			both := factor * localWins[i] * remoteWins[j]
			preferred := preferred(&local[i], &remote[j])
			chances[local[i].index] += both * preferred
			chances[remote[j].index] += both * (1 - preferred)
		}
	}
	for j := range remote {
		chances[remote[j].index] += factor * remoteWins[j] * noLocal
	}
	return noLocal * noRemote
}

// preferred returns the probability with which the first contender is chosen of the two.
func preferred(first, second *contender) float64 {
	switch result := compare(first.candidate, second.candidate, first.cost, second.cost); {
	case result < 0:
		return 1
	case result > 0:
		return 0
	default:
		return 0.5
	}
}

// wins returns the probability with which each contender is the better one of the two that
// are sampled of those considered, and the probability that none is considered.
func (g group) wins() (wins []float64, none float64) {
	wins = make([]float64, len(g))
	none = 1
	// alone is the probability that exactly one contender is considered, for each.
	alone := make([]float64, len(g))
	var sampled pairChances
	for i := range g {
		for j := range i {
			alone[j] *= 1 - g[i].inclusion
			both := sampled.of(g, j, i)
			preferred := preferred(&g[j], &g[i])
			wins[j] += both * preferred
			wins[i] += both * (1 - preferred)
		}
		alone[i] = none * g[i].inclusion
		none *= 1 - g[i].inclusion
	}
	for i := range g {
		wins[i] += alone[i]
	}
	return wins, none
}

func (g group) includeAll() {
	for i := range g {
		g[i].inclusion = 1
	}
}

// pairChances computes with which probabilities pairs of contenders are sampled. Groups of
// hundreds have far fewer different probabilities than pairs, so it keeps those that it has
// computed.
type pairChances struct {
	// always is the probability of pairs that are always considered; zero before it is
	// computed.
	always float64
	known  map[[2]int]float64
}

// of returns the probability with which the two contenders are considered and sampled.
func (p *pairChances) of(g group, i, j int) float64 {
	both := g[i].inclusion * g[j].inclusion
	if both == 1 {
		if p.always == 0 {
			p.always = g.samplingChance(i, j)
		}
		return p.always
	}
	// How many others are considered depends only on those of the pair that may be excluded.
	key := [2]int{i, j}
	for n, index := range key {
		if g[index].inclusion == 1 {
			key[n] = -1
		}
	}
	chance, known := p.known[key]
	if !known {
		chance = g.samplingChance(i, j)
		if p.known == nil {
			p.known = make(map[[2]int]float64)
		}
		p.known[key] = chance
	}
	return both * chance
}

// samplingChance returns the probability with which two contenders that are considered are
// sampled: each pair of those considered is equally probable.
func (g group) samplingChance(i, j int) float64 {
	// chances[n] is the probability that n of the others that may be excluded are considered.
	chances := []float64{1}
	always := 0
	for other := range g {
		switch share := g[other].inclusion; {
		case other == i || other == j:
		case share == 1:
			always++
		default:
			chances = append(chances, 0)
			for n := len(chances) - 1; n > 0; n-- {
				chances[n] = chances[n]*(1-share) + chances[n-1]*share
			}
			chances[0] *= 1 - share
		}
	}
	sum := 0.0
	for n, chance := range chances {
		count := float64(always + n + 2)
		sum += chance / (count * (count - 1) / 2)
	}
	return sum
}
