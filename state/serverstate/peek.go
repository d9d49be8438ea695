package serverstate

import "github.com/ebonyworks/ebonyworks"

// PeekCandidates returns what the next call of Candidates would return, without claiming
// the probes that are due and without any other change.
func (r *Table) PeekCandidates(
	service *ebonyworks.Service,
	route ebonyworks.Route,
	localDomain ebonyworks.DomainID,
	quota ebonyworks.Quota,
) []ebonyworks.Candidate {
	return r.copyFor(service).Candidates(service, route, localDomain, quota)
}

// copyFor returns a table with a copy of the state of the service's servers. It has random
// numbers of its own and records no events.
func (r *Table) copyFor(service *ebonyworks.Service) *Table {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	private := &Table{
		ProbeByRequest: r.ProbeByRequest,
		DrainGrace:     r.DrainGrace,
		KeepInDomain:   r.KeepInDomain,
		LearnCapacity:  r.LearnCapacity,
		Warmup:         r.Warmup,
		servers:        make(map[ebonyworks.ServerID]*record, len(service.Servers)),
		configured:     r.configured,
		staleBefore:    r.staleBefore,
	}
	for _, server := range service.Servers {
		known := r.lookup(server.ID)
		if known == nil {
			continue
		}
		private.servers[server.ID] = known.copy()
	}
	return private
}

// copy returns a record that shares no memory with the original.
func (k *record) copy() *record {
	copied := *k
	copied.warmup.timer = nil
	if k.capacity != nil {
		capacity := *k.capacity
		copied.capacity = &capacity
	}
	return &copied
}
