package report

import (
	"os"
	"strconv"
	"strings"
)

// cpuTimes are the times of all processors of the machine in ticks, zero if
// the system doesn't state them.
type cpuTimes struct {
	busy, total uint64
}

// readCPU reads the first line of /proc/stat. Its fields are user, nice,
// system, idle, iowait and further kinds of busy time; guest times, from the
// ninth field on, are contained in the first two.
func readCPU() cpuTimes {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return cpuTimes{}
	}
	return parseCPU(string(text))
}

func parseCPU(text string) cpuTimes {
	const idle, iowait, kinds = 3, 4, 8
	line, _, _ := strings.Cut(text, "\n")
	fields := strings.Fields(line)
	if len(fields) <= kinds || fields[0] != "cpu" {
		return cpuTimes{}
	}
	var times cpuTimes
	for i, field := range fields[1 : kinds+1] {
		ticks, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return cpuTimes{}
		}
		times.total += ticks
		if i != idle && i != iowait {
			times.busy += ticks
		}
	}
	return times
}

// busySince returns the busy part of the time since the earlier reading in
// percent, or zero if it is unknown.
func (c cpuTimes) busySince(earlier cpuTimes) float64 {
	if earlier.total == 0 || c.total <= earlier.total {
		return 0
	}
	return percent * float64(c.busy-earlier.busy) / float64(c.total-earlier.total)
}
