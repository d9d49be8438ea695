// Package configdoc encodes, decodes and validates the published configuration
// documents and the platform's host list.
package configdoc

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

// MaxValueBytes bounds the bytes of one value. The configuration service holds
// values of up to 1 MiB, and documents stay below it.
const MaxValueBytes = 1 << 20

// MaxHostListBytes bounds the bytes of a host list: 400 hosts and 2,400
// servers need about 400 KB.
const MaxHostListBytes = 4 << 20

// Codec reads and writes documents. The zero value is ready to use.
type Codec struct{}

var _ ebonyworks.ConfigurationDecoder = Codec{}

// DecodeManifest decodes a head. The result is meaningful only without problems.
func (Codec) DecodeManifest(bytes []byte) (ebonyworks.Manifest, []ebonyworks.Problem) {
	if problem := oversize("", bytes); problem != nil {
		return ebonyworks.Manifest{}, problem
	}
	var wire headWire
	if problems := jsonc.Decode(bytes, &wire); problems != nil {
		return ebonyworks.Manifest{}, problems
	}
	head := wire.domain()
	if problems := validateHead(head); problems != nil {
		return ebonyworks.Manifest{}, problems
	}
	return head, nil
}

// Assemble decodes the parts that the head lists and validates the whole.
// Parts that differ from the head in number, name or digest are problems, too.
func (Codec) Assemble(mark ebonyworks.ConfigurationVersion, head ebonyworks.Manifest, parts []ebonyworks.ConfigurationPart) (*ebonyworks.Configuration, []ebonyworks.Problem) {
	problems := matchParts(head, parts)
	if problems != nil {
		return nil, problems
	}
	configuration := &ebonyworks.Configuration{Version: mark}
	for _, part := range parts {
		problems = append(problems, decodePart(configuration, part)...)
	}
	// Parts that can't be decoded would be reported again as missing
	// references, so the whole is validated only when all are readable.
	if problems != nil {
		return nil, problems
	}
	if problems = Validate(configuration); problems != nil {
		return nil, problems
	}
	return configuration, nil
}

func matchParts(head ebonyworks.Manifest, parts []ebonyworks.ConfigurationPart) []ebonyworks.Problem {
	if len(parts) != len(head.Parts) {
		message := fmt.Sprintf("the head lists %d parts, but %d were given", len(head.Parts), len(parts))
		return []ebonyworks.Problem{{Path: "Parts", Message: message}}
	}
	var problems []ebonyworks.Problem
	for i, part := range parts {
		want := head.Parts[i]
		place := jsonc.Index("Parts", i)
		if part.Name != want.Name {
			message := fmt.Sprintf("the head lists %q here, not %q", want.Name, part.Name)
			problems = append(problems, ebonyworks.Problem{Path: jsonc.Join(place, "Name"), Message: message})
			continue
		}
		if ebonyworks.Digest(sha256.Sum256(part.Bytes)) != want.Digest {
			message := fmt.Sprintf("the bytes of %q have another digest", part.Name)
			problems = append(problems, ebonyworks.Problem{Path: jsonc.Join(place, "Digest"), Message: message})
		}
	}
	return problems
}

func decodePart(configuration *ebonyworks.Configuration, part ebonyworks.ConfigurationPart) []ebonyworks.Problem {
	if problem := oversize(part.Name, part.Bytes); problem != nil {
		return problem
	}
	if part.Name == RoutesPart {
		var wire routesWire
		problems := jsonc.Decode(part.Bytes, &wire)
		problems = append(problems, missingPolicies(wire, problems)...)
		for _, route := range wire.Routes {
			configuration.Routes = append(configuration.Routes, route.domain())
		}
		return placeRoutes(problems)
	}
	var wire catalogueWire
	problems := jsonc.Decode(part.Bytes, &wire)
	if problems == nil && CataloguePart(ebonyworks.CatalogueID(wire.ID)) != part.Name {
		message := fmt.Sprintf("must be that of the part's name, not %q", wire.ID)
		problems = append(problems, ebonyworks.Problem{Path: "ID", Message: message})
	}
	for i := range problems {
		problems[i].Path = jsonc.Join(part.Name, problems[i].Path)
	}
	configuration.Catalogues = append(configuration.Catalogues, wire.domain())
	return problems
}

// placeRoutes names the part in problems that concern the whole of it.
func placeRoutes(problems []ebonyworks.Problem) []ebonyworks.Problem {
	for i := range problems {
		if problems[i].Path == "" {
			problems[i].Path = RoutesPart
		}
	}
	return problems
}

// missingPolicies reports search routes without a policy. The decoder can't,
// since reservation routes have none. A policy that was reported as wrong is
// not reported again.
func missingPolicies(wire routesWire, known []ebonyworks.Problem) []ebonyworks.Problem {
	var problems []ebonyworks.Problem
	for i, route := range wire.Routes {
		place := jsonc.Join(jsonc.Index("Routes", i), "Policy")
		reported := slices.ContainsFunc(known, func(p ebonyworks.Problem) bool { return p.Path == place })
		if route.Kind == searchKind && route.Policy == "" && !reported {
			problems = append(problems, ebonyworks.Problem{Path: place, Message: "is missing"})
		}
	}
	return problems
}

func oversize(place string, bytes []byte) []ebonyworks.Problem {
	if len(bytes) < MaxValueBytes {
		return nil
	}
	message := fmt.Sprintf("has %d bytes, but a value must stay below %d", len(bytes), MaxValueBytes)
	return []ebonyworks.Problem{{Path: place, Message: message}}
}

func validateHead(head ebonyworks.Manifest) []ebonyworks.Problem {
	var problems []ebonyworks.Problem
	add := func(place, format string, arguments ...any) {
		problems = append(problems, ebonyworks.Problem{Path: place, Message: fmt.Sprintf(format, arguments...)})
	}
	if head.Revision == 0 {
		add("Revision", "must be positive")
	}
	if head.Base.Revision >= head.Revision && head.Revision > 0 {
		add("Base.Revision", "must be less than Revision, %d >= %d", head.Base.Revision, head.Revision)
	}
	if head.Base.Revision == 0 && head.Base != (ebonyworks.ConfigurationVersion{}) {
		add("Base.Digest", "must be zero if there is no base revision")
	}
	var routes bool
	for i, part := range head.Parts {
		place := jsonc.Join(jsonc.Index("Parts", i), "Name")
		if part.Name == RoutesPart {
			routes = true
		} else if id, ok := strings.CutPrefix(part.Name, cataloguePrefix); !ok {
			add(place, "must be %q or start with %q, not %q", RoutesPart, cataloguePrefix, part.Name)
		} else if message := catalogueMistake(id); message != "" {
			add(place, "the catalogue's id %s", message)
		}
		if i > 0 && part.Name <= head.Parts[i-1].Name {
			add(place, "names must be unique and in increasing order, but %q follows %q", part.Name, head.Parts[i-1].Name)
		}
	}
	if !routes {
		add("Parts", "must list the part %q", RoutesPart)
	}
	return problems
}

// EncodeConfiguration encodes a configuration as the given revision, derived from the
// base. The mark of the configuration is ignored. The result depends only on
// the arguments. It is meaningful only without problems.
func (c Codec) EncodeConfiguration(revision ebonyworks.Revision, base ebonyworks.ConfigurationVersion, configuration *ebonyworks.Configuration) (Publication, []ebonyworks.Problem) {
	problems := Validate(configuration)
	if problems != nil {
		return Publication{}, problems
	}
	publication := Publication{Manifest: ebonyworks.Manifest{Revision: revision, Base: base}}
	add := func(name string, wire any) {
		bytes, err := jsonc.Encode(wire)
		if err != nil {
			problems = append(problems, ebonyworks.Problem{Path: name, Message: err.Error()})
			return
		}
		problems = append(problems, oversize(name, bytes)...)
		publication.Parts = append(publication.Parts, ebonyworks.ConfigurationPart{Name: name, Bytes: bytes})
	}
	for _, catalogue := range configuration.Catalogues {
		add(CataloguePart(catalogue.ID), catalogueToWire(catalogue))
	}
	add(RoutesPart, routesToWire(configuration.Routes))
	slices.SortFunc(publication.Parts, func(a, b ebonyworks.ConfigurationPart) int { return strings.Compare(a.Name, b.Name) })
	for _, part := range publication.Parts {
		digest := ebonyworks.PartDigest{Name: part.Name, Digest: sha256.Sum256(part.Bytes)}
		publication.Manifest.Parts = append(publication.Manifest.Parts, digest)
	}
	problems = append(problems, validateHead(publication.Manifest)...)
	if problems != nil {
		return Publication{}, problems
	}
	bytes, err := c.EncodeManifest(publication.Manifest)
	if err != nil {
		return Publication{}, []ebonyworks.Problem{{Message: err.Error()}}
	}
	publication.ManifestBytes = bytes
	return publication, oversize("Parts", bytes)
}

// EncodeManifest returns the document of a head.
func (Codec) EncodeManifest(head ebonyworks.Manifest) ([]byte, error) {
	return jsonc.Encode(headToWire(head))
}

// DecodeHosts decodes the platform's host list. Names may repeat, since a host and
// its replacement can be listed together. The result is meaningful only
// without problems.
func (Codec) DecodeHosts(bytes []byte) ([]ebonyworks.ListedHost, []ebonyworks.Problem) {
	if len(bytes) > MaxHostListBytes {
		message := fmt.Sprintf("has %d bytes, but a host list has at most %d", len(bytes), MaxHostListBytes)
		return nil, []ebonyworks.Problem{{Message: message}}
	}
	var wire hostsWire
	if problems := jsonc.Decode(bytes, &wire); problems != nil {
		return nil, problems
	}
	var hosts []ebonyworks.ListedHost
	for _, host := range wire.Hosts {
		hosts = append(hosts, host.domain())
	}
	if problems := validateHosts(hosts); problems != nil {
		return nil, problems
	}
	return hosts, nil
}

// EncodeHosts returns the document of a host list.
func (Codec) EncodeHosts(hosts []ebonyworks.ListedHost) ([]byte, error) {
	if problems := validateHosts(hosts); problems != nil {
		return nil, errors.Errorf("%s: %s", problems[0].Path, problems[0].Message)
	}
	wire := hostsWire{Hosts: []hostWire{}}
	for _, host := range hosts {
		wire.Hosts = append(wire.Hosts, hostToWire(host))
	}
	return jsonc.Encode(wire)
}

func validateHosts(hosts []ebonyworks.ListedHost) []ebonyworks.Problem {
	var problems []ebonyworks.Problem
	add := func(place, message string) {
		if message != "" {
			problems = append(problems, ebonyworks.Problem{Path: place, Message: message})
		}
	}
	for i, host := range hosts {
		place := jsonc.Index("Hosts", i)
		add(jsonc.Join(place, "Name"), idMistake(host.Name))
		add(jsonc.Join(place, "Address"), addressMistake(host.Address))
		add(jsonc.Join(place, "Domain"), idMistake(string(host.Domain)))
	}
	return problems
}
