package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// crashRetention is how long a crash is kept. Two crashes up to quarantineTime
	// apart then count together for quarantineTime after the second.
	crashRetention = 2 * quarantineTime
	// maxSuspects bounds the fingerprints with a crash.
	maxSuspects = 4096
	// maxCrashes bounds the crashes of one fingerprint.
	maxCrashes = 8
	// maxReports bounds the reports in one gossip message.
	maxReports = 64
)

// serverRun is one incarnation of a server. Incarnation zero is unknown.
type serverRun struct {
	server      ebonyworks.ServerID
	incarnation ebonyworks.Incarnation
}

type crash struct {
	run serverRun
	// at is the earliest time of the crash in any report: the delay of a message makes
	// later copies look newer.
	at time.Time
	// cleared never returns to false.
	cleared bool
}

// crashLog holds crashes by fingerprint. What it holds depends only on the set of
// merged reports and the time, as long as the bounds aren't reached.
type crashLog struct {
	crashes map[ebonyworks.Fingerprint][]crash
}

// merge adds a report. A cleared report that arrives first still clears the crash.
func (l *crashLog) merge(now time.Time, report ebonyworks.CrashReport) {
	age := max(report.Age, 0)
	if age >= crashRetention {
		return
	}
	known := l.unexpired(now, report.Fingerprint)
	added := crash{run: serverRun{report.Server, report.Incarnation}, at: now.Add(-age), cleared: report.Cleared}
	for i := range known {
		if known[i].run == added.run {
			known[i].cleared = known[i].cleared || added.cleared
			if added.at.Before(known[i].at) {
				known[i].at = added.at
			}
			return
		}
	}
	if len(known) >= maxCrashes {
		return
	}
	if len(known) == 0 {
		l.evict(now)
	}
	if l.crashes == nil {
		l.crashes = make(map[ebonyworks.Fingerprint][]crash)
	}
	l.crashes[report.Fingerprint] = append(known, added)
}

// unexpired returns the crashes of the fingerprint that aren't older than
// crashRetention.
func (l *crashLog) unexpired(now time.Time, fingerprint ebonyworks.Fingerprint) []crash {
	known, ok := l.crashes[fingerprint]
	if !ok {
		return nil
	}
	kept := slices.DeleteFunc(known, func(c crash) bool { return now.Sub(c.at) >= crashRetention })
	if len(kept) == 0 {
		delete(l.crashes, fingerprint)
		return nil
	}
	if len(kept) < len(known) {
		l.crashes[fingerprint] = kept
	}
	return kept
}

// count returns the number of distinct server incarnations that crashed and weren't
// cleared, and the time of the last crash. Once the last one is quarantineTime
// ago, it returns zero.
func (l *crashLog) count(now time.Time, fingerprint ebonyworks.Fingerprint) (int, time.Time) {
	var last time.Time
	count := 0
	known := l.unexpired(now, fingerprint)
	for _, c := range known {
		if c.cleared || c.isDuplicate(known) {
			continue
		}
		count++
		if c.at.After(last) {
			last = c.at
		}
	}
	if now.Sub(last) >= quarantineTime {
		return 0, time.Time{}
	}
	return count, last
}

// isDuplicate reports whether the incarnation is unknown and there is a crash of the
// same server with a known one, since both can be the same crash.
func (c crash) isDuplicate(known []crash) bool {
	return c.run.incarnation == 0 && slices.ContainsFunc(known, func(other crash) bool {
		return other.run.server == c.run.server && other.run.incarnation != 0
	})
}

// exposed returns the servers that crashed or disconnected while they ran the
// fingerprint.
func (l *crashLog) exposed(now time.Time, fingerprint ebonyworks.Fingerprint) []ebonyworks.ServerID {
	var servers []ebonyworks.ServerID
	for _, known := range l.unexpired(now, fingerprint) {
		if !known.cleared {
			servers = append(servers, known.run.server)
		}
	}
	return servers
}

// clear clears all known crashes of the fingerprint and returns the reports of that.
func (l *crashLog) clear(now time.Time, fingerprint ebonyworks.Fingerprint) []ebonyworks.CrashReport {
	var cleared []ebonyworks.CrashReport
	known := l.unexpired(now, fingerprint)
	for i := range known {
		if !known[i].cleared {
			known[i].cleared = true
			cleared = append(cleared, known[i].report(now, fingerprint))
		}
	}
	return cleared
}

func (l *crashLog) reports(now time.Time) []ebonyworks.CrashReport {
	var reports []ebonyworks.CrashReport
	for fingerprint := range l.crashes {
		for _, known := range l.unexpired(now, fingerprint) {
			reports = append(reports, known.report(now, fingerprint))
		}
	}
	slices.SortFunc(reports, func(a, b ebonyworks.CrashReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Server, b.Server))
	})
	return reports[:min(len(reports), maxReports)]
}

// evict drops fingerprints whose crashes have expired and, if that isn't enough, the
// one with the fewest crashes, and of those the oldest.
func (l *crashLog) evict(now time.Time) {
	if len(l.crashes) < maxSuspects {
		return
	}
	var evicted ebonyworks.Fingerprint
	var evictedCount int
	var evictedLast time.Time
	first := true
	for fingerprint := range l.crashes {
		count, last := l.count(now, fingerprint)
		if first || count < evictedCount || count == evictedCount && last.Before(evictedLast) {
			evicted, evictedCount, evictedLast, first = fingerprint, count, last, false
		}
	}
	if len(l.crashes) >= maxSuspects {
		delete(l.crashes, evicted)
	}
}

func (c crash) report(now time.Time, fingerprint ebonyworks.Fingerprint) ebonyworks.CrashReport {
	return ebonyworks.CrashReport{
		Fingerprint: fingerprint,
		Server:      c.run.server,
		Incarnation: c.run.incarnation,
		Age:         now.Sub(c.at),
		Cleared:     c.cleared,
	}
}
