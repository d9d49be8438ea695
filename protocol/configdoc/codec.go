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

// MaxValueBytes is the size limit of a value in the configuration service, 1 MiB.
// Documents must be smaller.
const MaxValueBytes = 1 << 20

// MaxHostListBytes is the maximum size of a host list. A list of 400 hosts and
// 2,400 servers has about 400 KB.
const MaxHostListBytes = 4 << 20

// Codec encodes and decodes documents. The zero value is ready to use.
type Codec struct{}

var _ ebonyworks.ConfigurationDecoder = Codec{}

// DecodeManifest decodes and validates a manifest. The result is meaningful only
// without problems.
func (Codec) DecodeManifest(bytes []byte) (ebonyworks.Manifest, []ebonyworks.Problem) {
	if problem := checkSize("", bytes); problem != nil {
		return ebonyworks.Manifest{}, problem
	}
	var wire manifestWire
	if problems := jsonc.Decode(bytes, &wire); problems != nil {
		return ebonyworks.Manifest{}, problems
	}
	manifest := wire.toModel()
	if problems := validateManifest(manifest); problems != nil {
		return ebonyworks.Manifest{}, problems
	}
	return manifest, nil
}

// Assemble decodes the parts that the manifest lists and validates the whole
// configuration. Parts that differ from the manifest in number, name or digest are
// reported as problems, too.
func (Codec) Assemble(version ebonyworks.ConfigurationVersion, manifest ebonyworks.Manifest, parts []ebonyworks.ConfigurationPart) (*ebonyworks.Configuration, []ebonyworks.Problem) {
	problems := matchParts(manifest, parts)
	if problems != nil {
		return nil, problems
	}
	configuration := &ebonyworks.Configuration{Version: version}
	for _, part := range parts {
		problems = append(problems, decodePart(configuration, part)...)
	}
	// References to parts that can't be decoded would be reported as missing, so the
	// configuration is validated only if all parts were decoded.
	if problems != nil {
		return nil, problems
	}
	if problems = Validate(configuration); problems != nil {
		return nil, problems
	}
	return configuration, nil
}

func matchParts(manifest ebonyworks.Manifest, parts []ebonyworks.ConfigurationPart) []ebonyworks.Problem {
	if len(parts) != len(manifest.Parts) {
		message := fmt.Sprintf("the manifest lists %d parts, but %d were given", len(manifest.Parts), len(parts))
		return []ebonyworks.Problem{{Path: "Parts", Message: message}}
	}
	var problems []ebonyworks.Problem
	for i, part := range parts {
		want := manifest.Parts[i]
		path := jsonc.Index("Parts", i)
		if part.Name != want.Name {
			message := fmt.Sprintf("the manifest lists %q here, not %q", want.Name, part.Name)
			problems = append(problems, ebonyworks.Problem{Path: jsonc.Join(path, "Name"), Message: message})
			continue
		}
		if ebonyworks.Digest(sha256.Sum256(part.Bytes)) != want.Digest {
			message := fmt.Sprintf("the bytes of %q have another digest", part.Name)
			problems = append(problems, ebonyworks.Problem{Path: jsonc.Join(path, "Digest"), Message: message})
		}
	}
	return problems
}

func decodePart(configuration *ebonyworks.Configuration, part ebonyworks.ConfigurationPart) []ebonyworks.Problem {
	if problem := checkSize(part.Name, part.Bytes); problem != nil {
		return problem
	}
	if part.Name == RoutesPart {
		var wire routesWire
		problems := jsonc.Decode(part.Bytes, &wire)
		problems = append(problems, missingPolicies(wire, problems)...)
		for _, route := range wire.Routes {
			configuration.Routes = append(configuration.Routes, route.toModel())
		}
		return addRoutesPath(problems)
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
	configuration.Catalogues = append(configuration.Catalogues, wire.toModel())
	return problems
}

// addRoutesPath sets the path of problems that concern the whole document to the
// part's name.
func addRoutesPath(problems []ebonyworks.Problem) []ebonyworks.Problem {
	for i := range problems {
		if problems[i].Path == "" {
			problems[i].Path = RoutesPart
		}
	}
	return problems
}

// missingPolicies reports search routes without a policy. The decoder can't check
// this, because reservation routes have no policy. Policies that are already reported
// as invalid are left out.
func missingPolicies(wire routesWire, reported []ebonyworks.Problem) []ebonyworks.Problem {
	var problems []ebonyworks.Problem
	for i, route := range wire.Routes {
		path := jsonc.Join(jsonc.Index("Routes", i), "Policy")
		isReported := slices.ContainsFunc(reported, func(p ebonyworks.Problem) bool { return p.Path == path })
		if route.Kind == searchKind && route.Policy == "" && !isReported {
			problems = append(problems, ebonyworks.Problem{Path: path, Message: "is missing"})
		}
	}
	return problems
}

func checkSize(path string, bytes []byte) []ebonyworks.Problem {
	if len(bytes) < MaxValueBytes {
		return nil
	}
	message := fmt.Sprintf("has %d bytes, but a value must stay below %d", len(bytes), MaxValueBytes)
	return []ebonyworks.Problem{{Path: path, Message: message}}
}

func validateManifest(manifest ebonyworks.Manifest) []ebonyworks.Problem {
	var problems []ebonyworks.Problem
	add := func(path, format string, arguments ...any) {
		problems = append(problems, ebonyworks.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)})
	}
	if manifest.Revision == 0 {
		add("Revision", "must be positive")
	}
	if manifest.Base.Revision >= manifest.Revision && manifest.Revision > 0 {
		add("Base.Revision", "must be less than Revision, %d >= %d", manifest.Base.Revision, manifest.Revision)
	}
	if manifest.Base.Revision == 0 && manifest.Base != (ebonyworks.ConfigurationVersion{}) {
		add("Base.Digest", "must be zero if there is no base revision")
	}
	var routes bool
	for i, part := range manifest.Parts {
		path := jsonc.Join(jsonc.Index("Parts", i), "Name")
		if part.Name == RoutesPart {
			routes = true
		} else if id, ok := strings.CutPrefix(part.Name, cataloguePrefix); !ok {
			add(path, "must be %q or start with %q, not %q", RoutesPart, cataloguePrefix, part.Name)
		} else if message := catalogueIDProblem(id); message != "" {
			add(path, "the catalogue's id %s", message)
		}
		if i > 0 && part.Name <= manifest.Parts[i-1].Name {
			add(path, "names must be unique and in increasing order, but %q follows %q", part.Name, manifest.Parts[i-1].Name)
		}
	}
	if !routes {
		add("Parts", "must list the part %q", RoutesPart)
	}
	return problems
}

// EncodeConfiguration validates a configuration and encodes it as the documents of the
// given revision, derived from the base version. The version of the configuration
// itself is ignored. The result depends only on the arguments. It is meaningful only
// without problems.
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
		problems = append(problems, checkSize(name, bytes)...)
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
	problems = append(problems, validateManifest(publication.Manifest)...)
	if problems != nil {
		return Publication{}, problems
	}
	bytes, err := c.EncodeManifest(publication.Manifest)
	if err != nil {
		return Publication{}, []ebonyworks.Problem{{Message: err.Error()}}
	}
	publication.ManifestBytes = bytes
	return publication, checkSize("Parts", bytes)
}

// EncodeManifest encodes a manifest as a document.
func (Codec) EncodeManifest(manifest ebonyworks.Manifest) ([]byte, error) {
	return jsonc.Encode(manifestToWire(manifest))
}

// DecodeHosts decodes and validates the platform's host list. Names may repeat, since
// a host and its replacement can be listed together. The result is meaningful only
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
		hosts = append(hosts, host.toModel())
	}
	if problems := validateHosts(hosts); problems != nil {
		return nil, problems
	}
	return hosts, nil
}

// EncodeHosts encodes a host list as a document.
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
	add := func(path, message string) {
		if message != "" {
			problems = append(problems, ebonyworks.Problem{Path: path, Message: message})
		}
	}
	for i, host := range hosts {
		path := jsonc.Index("Hosts", i)
		add(jsonc.Join(path, "Name"), idProblem(host.Name))
		add(jsonc.Join(path, "Address"), addressProblem(host.Address))
		add(jsonc.Join(path, "Domain"), idProblem(string(host.Domain)))
	}
	return problems
}
