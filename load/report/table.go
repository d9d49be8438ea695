package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columns are the headings of the table. Rates are per second and latencies in
// milliseconds.
const columns = "user\tscenario\tpolicy\tphase\tload\toffered/s\tachieved/s\tp50\tp90\tp99\tp99.9\tmax\tcomplete\tcoverage\tgoodput/s\tof slots\textra\tcrashes\tCPU\t"

// Table writes the results as an aligned table, followed by what doesn't fit
// into columns.
func Table(w io.Writer, results []Result) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, columns)
	for _, result := range results {
		fmt.Fprintln(writer, strings.Join(result.cells(), "\t")+"\t")
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, result := range results {
		if details := result.details(); details != "" {
			if _, err := fmt.Fprintf(w, "%s %s %s: %s\n", result.Scenario, result.Policy, result.Phase, details); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r Result) cells() []string {
	share, extra, crashes := "-", "-", "-"
	if r.Percent > 0 {
		share = fmt.Sprintf("%d%%", r.Percent)
	}
	if r.BackendKnown {
		extra = fmt.Sprintf("%.1f%%", r.ExtraPercent)
		crashes = fmt.Sprint(r.Backend.Crashes)
	}
	return []string{
		r.User, r.Scenario, r.Policy, r.Phase, share,
		fmt.Sprintf("%.0f", r.Offered), fmt.Sprintf("%.0f", r.Achieved),
		fmt.Sprintf("%.1f", r.Latency.P50), fmt.Sprintf("%.1f", r.Latency.P90), fmt.Sprintf("%.1f", r.Latency.P99),
		fmt.Sprintf("%.1f", r.Latency.P999), fmt.Sprintf("%.1f", r.Latency.Max),
		fmt.Sprintf("%.2f%%", r.CompletePercent), fmt.Sprintf("%.3f%%", r.CoveragePercent),
		fmt.Sprintf("%.0f", r.Goodput), fmt.Sprintf("%.0f%%", r.GoodputPercent), extra, crashes, fmt.Sprintf("%.0f%%", r.MachineBusyPercent),
	}
}

func (r Result) details() string {
	groups := []struct {
		name   string
		counts []Count
	}{
		{"missed shards", r.Missed},
		{"refused", r.Refused},
		{"failed", r.Failed},
		{"reservations", r.Reservations},
		{"reservation codes", r.ReservationCodes},
		{"resends", r.Resends},
		{"VIOLATIONS", r.Violations},
	}
	var parts []string
	for _, group := range groups {
		if len(group.counts) == 0 {
			continue
		}
		var items []string
		for _, count := range group.counts {
			items = append(items, fmt.Sprintf("%s %d", count.Name, count.Count))
		}
		parts = append(parts, group.name+" "+strings.Join(items, ", "))
	}
	return strings.Join(parts, "; ")
}
