package storereport

import (
	"slices"

	"github.com/ebonyworks/ebonyworks"
)

// WithoutEra returns the listing as hosts of versions that don't know eras use it: with the
// store's own revisions, and without evacuations that are only held, which such a host would
// obey without an end.
func WithoutEra(listing ebonyworks.StoreListing) ebonyworks.StoreListing {
	era := listing.AsOf.Era()
	listing.Held = nil
	listing.Changes = slices.DeleteFunc(slices.Clone(listing.Changes), func(change ebonyworks.StoreChange) bool {
		return change.Evacuation != nil && change.Revision.Era() < era
	})
	return withRevisions(listing, func(revision ebonyworks.StoreRevision) ebonyworks.StoreRevision {
		return ebonyworks.StoreRevision(revision.InEra())
	})
}

// InEra returns the listing of a host that doesn't know eras with revisions of the era.
func InEra(listing ebonyworks.StoreListing, era ebonyworks.StoreEra) ebonyworks.StoreListing {
	listing.Changes = slices.Clone(listing.Changes)
	return withRevisions(listing, func(revision ebonyworks.StoreRevision) ebonyworks.StoreRevision {
		return ebonyworks.NewStoreRevision(era, revision.InEra())
	})
}

// withRevisions replaces each revision in the listing, whose changes it modifies.
func withRevisions(listing ebonyworks.StoreListing, replace func(ebonyworks.StoreRevision) ebonyworks.StoreRevision) ebonyworks.StoreListing {
	listing.AsOf = replace(listing.AsOf)
	for i := range listing.Changes {
		listing.Changes[i].Revision = replace(listing.Changes[i].Revision)
	}
	return listing
}
