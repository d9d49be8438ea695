package callerlimit

// Shares of a process's limits for the connections that it accepts. The other descriptors
// are for connections to servers and hosts.
const (
	// AuxiliaryMemoryShare is the share of memory for readiness checks, reads of metrics
	// and the administration address.
	AuxiliaryMemoryShare = 0.05
	// CallerDescriptorShare, PeerDescriptorShare and AuxiliaryDescriptorShare are the
	// shares of file descriptors for callers, for other hosts, and for the addresses of
	// AuxiliaryMemoryShare.
	CallerDescriptorShare    = 0.5
	PeerDescriptorShare      = 0.125
	AuxiliaryDescriptorShare = 0.0625
)
