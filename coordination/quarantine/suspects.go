package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// deathTime is how long a death is remembered. Two deaths up to blockTime
	// apart then count together for blockTime after the second.
	deathTime = 2 * blockTime
	// maxSuspects bounds the fingerprints with a death.
	maxSuspects = 4096
	// maxDeaths bounds the deaths of one fingerprint.
	maxDeaths = 8
	// maxReports bounds the reports in one exchange.
	maxReports = 64
)

// life is one incarnation of a server. Incarnation zero is unknown.
type life struct {
	server      ebonyworks.ServerID
	incarnation ebonyworks.Incarnation
}

type death struct {
	life life
	// at is the earliest time that any report gave; the time that a message
	// took makes later copies look newer.
	at time.Time
	// cleared is never unset.
	cleared bool
}

// suspects holds deaths by fingerprint. What it holds depends only on the set
// of merged reports and the time, as long as the bounds aren't reached.
type suspects struct {
	deaths map[ebonyworks.Fingerprint][]death
}

// merge adds a report. A cleared report that arrives first still clears.
func (s *suspects) merge(now time.Time, report ebonyworks.CrashReport) {
	age := max(report.Age, 0)
	if age >= deathTime {
		return
	}
	known := s.live(now, report.Fingerprint)
	added := death{life: life{report.Server, report.Incarnation}, at: now.Add(-age), cleared: report.Cleared}
	for i := range known {
		if known[i].life == added.life {
			known[i].cleared = known[i].cleared || added.cleared
			if added.at.Before(known[i].at) {
				known[i].at = added.at
			}
			return
		}
	}
	if len(known) >= maxDeaths {
		return
	}
	if len(known) == 0 {
		s.makeRoom(now)
	}
	if s.deaths == nil {
		s.deaths = make(map[ebonyworks.Fingerprint][]death)
	}
	s.deaths[report.Fingerprint] = append(known, added)
}

// live returns the deaths of the fingerprint that are remembered.
func (s *suspects) live(now time.Time, fingerprint ebonyworks.Fingerprint) []death {
	known, ok := s.deaths[fingerprint]
	if !ok {
		return nil
	}
	kept := slices.DeleteFunc(known, func(d death) bool { return now.Sub(d.at) >= deathTime })
	if len(kept) == 0 {
		delete(s.deaths, fingerprint)
		return nil
	}
	if len(kept) < len(known) {
		s.deaths[fingerprint] = kept
	}
	return kept
}

// count returns the number of distinct lives that ended and weren't cleared,
// and the time of the last of them. All are forgiven blockTime after it.
func (s *suspects) count(now time.Time, fingerprint ebonyworks.Fingerprint) (int, time.Time) {
	var last time.Time
	count := 0
	known := s.live(now, fingerprint)
	for _, one := range known {
		if one.cleared || one.repeats(known) {
			continue
		}
		count++
		if one.at.After(last) {
			last = one.at
		}
	}
	if now.Sub(last) >= blockTime {
		return 0, time.Time{}
	}
	return count, last
}

// repeats reports whether the incarnation is unknown and a known one of the
// same server is there, since both can be the same death.
func (d death) repeats(known []death) bool {
	return d.life.incarnation == 0 && slices.ContainsFunc(known, func(other death) bool {
		return other.life.server == d.life.server && other.life.incarnation != 0
	})
}

// reached returns the servers that went away under the fingerprint.
func (s *suspects) reached(now time.Time, fingerprint ebonyworks.Fingerprint) []ebonyworks.ServerID {
	var servers []ebonyworks.ServerID
	for _, known := range s.live(now, fingerprint) {
		if !known.cleared {
			servers = append(servers, known.life.server)
		}
	}
	return servers
}

// clear clears all known deaths of the fingerprint and returns the reports
// that tell so.
func (s *suspects) clear(now time.Time, fingerprint ebonyworks.Fingerprint) []ebonyworks.CrashReport {
	var cleared []ebonyworks.CrashReport
	known := s.live(now, fingerprint)
	for i := range known {
		if !known[i].cleared {
			known[i].cleared = true
			cleared = append(cleared, known[i].report(now, fingerprint))
		}
	}
	return cleared
}

func (s *suspects) reports(now time.Time) []ebonyworks.CrashReport {
	var reports []ebonyworks.CrashReport
	for fingerprint := range s.deaths {
		for _, known := range s.live(now, fingerprint) {
			reports = append(reports, known.report(now, fingerprint))
		}
	}
	slices.SortFunc(reports, func(a, b ebonyworks.CrashReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Server, b.Server))
	})
	return reports[:min(len(reports), maxReports)]
}

// makeRoom drops forgotten fingerprints and, if that isn't enough, the one
// with the fewest deaths and of those the oldest.
func (s *suspects) makeRoom(now time.Time) {
	if len(s.deaths) < maxSuspects {
		return
	}
	var weakest ebonyworks.Fingerprint
	var weakestCount int
	var weakestLast time.Time
	first := true
	for fingerprint := range s.deaths {
		count, last := s.count(now, fingerprint)
		if first || count < weakestCount || count == weakestCount && last.Before(weakestLast) {
			weakest, weakestCount, weakestLast, first = fingerprint, count, last, false
		}
	}
	if len(s.deaths) >= maxSuspects {
		delete(s.deaths, weakest)
	}
}

func (d death) report(now time.Time, fingerprint ebonyworks.Fingerprint) ebonyworks.CrashReport {
	return ebonyworks.CrashReport{
		Fingerprint: fingerprint,
		Server:      d.life.server,
		Incarnation: d.life.incarnation,
		Age:         now.Sub(d.at),
		Cleared:     d.cleared,
	}
}
