// Package configplan is the operators' library for configurations. A program builds a
// Plan of catalogues and routes, and publishes the documents that it prints.
package configplan

import (
	"slices"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// Plan is a configuration under construction. Mistakes are collected and
// returned together by Configuration and Publish. The zero value is an empty
// plan whose servers get the addresses of the zero Addresses.
type Plan struct {
	// Addresses number the servers of catalogues that are added by Catalogue.
	Addresses Addresses

	configuration ebonyworks.Configuration
	servers       int
	problems      []ebonyworks.Problem
}

// Revise returns a plan that starts with the contents of a configuration.
func Revise(configuration *ebonyworks.Configuration) *Plan {
	plan := &Plan{}
	plan.configuration.Routes = slices.Clone(configuration.Routes)
	for _, catalogue := range configuration.Catalogues {
		plan.AddCatalogue(catalogue)
	}
	return plan
}

// Catalogue adds a catalogue with the services, servers and first partition
// that the specification describes.
func (p *Plan) Catalogue(spec CatalogueSpec) *Plan {
	problems := spec.problems()
	if problems != nil {
		p.problems = append(p.problems, problems...)
		return p
	}
	catalogue := spec.build(p.Addresses, p.servers)
	for _, service := range catalogue.Services {
		p.servers += len(service.Servers)
	}
	return p.AddCatalogue(catalogue)
}

// AddCatalogue adds a catalogue as it is.
func (p *Plan) AddCatalogue(catalogue ebonyworks.Catalogue) *Plan {
	catalogue.Services = slices.Clone(catalogue.Services)
	catalogue.Partitions = slices.Clone(catalogue.Partitions)
	p.configuration.Catalogues = append(p.configuration.Catalogues, catalogue)
	return p
}

// Route adds a route.
func (p *Plan) Route(route ebonyworks.Route) *Plan {
	p.configuration.Routes = append(p.configuration.Routes, route)
	return p
}

// Partition adds the next partition of a catalogue.
func (p *Plan) Partition(id ebonyworks.CatalogueID, partition ebonyworks.Partition) *Plan {
	if catalogue, ok := p.catalogue(id); ok {
		catalogue.Partitions = append(catalogue.Partitions, partition)
	}
	return p
}

// DropPartitions removes the partitions of a catalogue before the epoch. Use
// it when no server holds a snapshot of them any more.
func (p *Plan) DropPartitions(id ebonyworks.CatalogueID, before ebonyworks.PartitionEpoch) *Plan {
	if catalogue, ok := p.catalogue(id); ok {
		catalogue.Partitions = slices.DeleteFunc(catalogue.Partitions, func(partition ebonyworks.Partition) bool {
			return partition.Epoch < before
		})
	}
	return p
}

func (p *Plan) catalogue(id ebonyworks.CatalogueID) (*ebonyworks.Catalogue, bool) {
	catalogue, ok := p.configuration.Catalogue(id)
	if !ok {
		p.problems = append(p.problems, ebonyworks.Problem{Path: configdoc.CataloguePart(id), Message: "no such catalogue in the plan"})
	}
	return catalogue, ok
}

// Configuration returns the configuration with a zero mark, or every mistake.
// The result shares memory with the plan.
func (p *Plan) Configuration() (*ebonyworks.Configuration, []ebonyworks.Problem) {
	problems := slices.Clone(p.problems)
	problems = append(problems, configdoc.Validate(&p.configuration)...)
	if problems != nil {
		return nil, problems
	}
	configuration := p.configuration
	return &configuration, nil
}

// Publish returns the documents of the plan as the given revision, derived
// from the base, or every mistake. The same arguments always give the same
// bytes. The base of a first publication is the zero mark.
func (p *Plan) Publish(revision ebonyworks.Revision, base ebonyworks.ConfigurationVersion) (configdoc.Publication, []ebonyworks.Problem) {
	configuration, problems := p.Configuration()
	if problems != nil {
		return configdoc.Publication{}, problems
	}
	return configdoc.Codec{}.EncodeConfiguration(revision, base, configuration)
}
