package ebonyworks

import "context"

// FailureReport tells which backend servers have failed requests of a host since its last
// report: they lost the answer, spoiled it, or answered with an error.
type FailureReport struct {
	Reporter HostID
	Servers  []ServerFailures
}

// ServerFailures is the number of requests that a server has failed.
type ServerFailures struct {
	Server ServerID
	// Incarnation is that of the server as the reporter knows it; zero if it isn't known.
	Incarnation Incarnation
	// Failures is at least 1.
	Failures int
}

// FailurePeer sends failure reports to other hosts.
type FailurePeer interface {
	// ReportFailures sends the report to the host. It isn't repeated after an error.
	ReportFailures(ctx context.Context, to Host, report FailureReport) error
}

// FailurePeerHandler takes the reports of a FailurePeer.
type FailurePeerHandler interface {
	// HandleReportFailures uses the report of another host.
	HandleReportFailures(ctx context.Context, report FailureReport) error
}
