package configdoc

import (
	"crypto/sha256"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// ManifestKey is the key of the manifest in the configuration service. In the key
	// the manifest is called head.
	ManifestKey ebonyworks.ConfigurationKey = "Configuration/Head"
	// RoutesPart is the name of the part that holds the routes.
	RoutesPart = "Routes"

	cataloguePrefix = "Catalogue/"
	partPrefix      = "Configuration/Parts/"
)

// CataloguePart returns the name of the part that holds the given catalogue.
func CataloguePart(id ebonyworks.CatalogueID) string {
	return cataloguePrefix + string(id)
}

// PartKey returns the key of the named part in the configuration service. It isn't
// percent-encoded.
func PartKey(name string) ebonyworks.ConfigurationKey {
	return ebonyworks.ConfigurationKey(partPrefix + name)
}

// Publication holds the documents of one configuration.
type Publication struct {
	Manifest      ebonyworks.Manifest
	ManifestBytes []byte
	// Parts are in the order of the manifest.
	Parts []ebonyworks.ConfigurationPart
}

// Version returns the configuration version that hosts derive from the manifest.
func (p Publication) Version() ebonyworks.ConfigurationVersion {
	return ebonyworks.ConfigurationVersion{Revision: p.Manifest.Revision, Digest: sha256.Sum256(p.ManifestBytes)}
}

// Values returns the values to write to the configuration service, in this order:
// the parts, then the manifest. Their versions are zero.
func (p Publication) Values() []ebonyworks.ConfigurationValue {
	values := make([]ebonyworks.ConfigurationValue, 0, len(p.Parts)+1)
	for _, part := range p.Parts {
		values = append(values, ebonyworks.ConfigurationValue{Key: PartKey(part.Name), Bytes: part.Bytes})
	}
	return append(values, ebonyworks.ConfigurationValue{Key: ManifestKey, Bytes: p.ManifestBytes})
}
