package backendjson

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// SearchRequest is the search of one shard and the time until its deadline.
type SearchRequest struct {
	Search ebonyworks.SubSearch
	// Remaining is positive and has millisecond resolution, rounded up.
	Remaining time.Duration
}

// ReserveRequest is a reservation and the time until its deadline.
type ReserveRequest struct {
	Reservation ebonyworks.SubReservation
	// Remaining is positive and has millisecond resolution, rounded up.
	Remaining time.Duration
}

// EncodeSearch returns the body of a search request.
func (c Codec) EncodeSearch(request SearchRequest) []byte {
	search := request.Search
	return encode(wireSearch{
		Request:               string(search.Request),
		Catalogue:             string(search.Catalogue),
		Snapshot:              toWireSnapshot(search.Snapshot),
		Shard:                 string(search.Shard),
		Filters:               toWireFields(search.Filters),
		Keys:                  wireKeys{From: search.Keys.From, To: search.Keys.To},
		RemainingMilliseconds: roundUpToMilliseconds(request.Remaining),
	})
}

// DecodeSearch decodes the body of a search request. The error is a *MalformedError.
func (c Codec) DecodeSearch(body []byte) (SearchRequest, error) {
	var wire wireSearch
	if err := decode(body, c.RequestLimit(), &wire); err != nil {
		return SearchRequest{}, err
	}
	if err := validateRequest(wire.Request, wire.Catalogue, wire.Shard, wire.Filters, wire.RemainingMilliseconds); err != nil {
		return SearchRequest{}, err
	}
	if wire.Snapshot.Number == 0 {
		return SearchRequest{}, &MalformedError{Reason: "Snapshot.Number is missing"}
	}
	return SearchRequest{
		Search: ebonyworks.SubSearch{
			Request:   ebonyworks.RequestID(wire.Request),
			Catalogue: ebonyworks.CatalogueID(wire.Catalogue),
			Snapshot:  fromWireSnapshot(wire.Snapshot),
			Shard:     ebonyworks.ShardID(wire.Shard),
			Filters:   fromWireFields(wire.Filters),
			Keys:      ebonyworks.KeyRange{From: wire.Keys.From, To: wire.Keys.To},
		},
		Remaining: time.Duration(wire.RemainingMilliseconds) * time.Millisecond,
	}, nil
}

// EncodeReservation returns the body of a reservation request.
func (c Codec) EncodeReservation(request ReserveRequest) []byte {
	reservation := request.Reservation
	return encode(wireReservation{
		Request:               string(reservation.Request),
		Catalogue:             string(reservation.Catalogue),
		Shard:                 string(reservation.Shard),
		Key:                   reservation.Key,
		Fields:                toWireFields(reservation.Fields),
		RemainingMilliseconds: roundUpToMilliseconds(request.Remaining),
	})
}

// DecodeReservation decodes the body of a reservation request. The error is a
// *MalformedError.
func (c Codec) DecodeReservation(body []byte) (ReserveRequest, error) {
	var wire wireReservation
	if err := decode(body, c.RequestLimit(), &wire); err != nil {
		return ReserveRequest{}, err
	}
	if err := validateRequest(wire.Request, wire.Catalogue, wire.Shard, wire.Fields, wire.RemainingMilliseconds); err != nil {
		return ReserveRequest{}, err
	}
	if wire.Key == "" {
		return ReserveRequest{}, &MalformedError{Reason: "Key is missing"}
	}
	return ReserveRequest{
		Reservation: ebonyworks.SubReservation{
			Request:   ebonyworks.RequestID(wire.Request),
			Catalogue: ebonyworks.CatalogueID(wire.Catalogue),
			Shard:     ebonyworks.ShardID(wire.Shard),
			Key:       wire.Key,
			Fields:    fromWireFields(wire.Fields),
		},
		Remaining: time.Duration(wire.RemainingMilliseconds) * time.Millisecond,
	}, nil
}

func validateRequest(request, catalogue, shard string, fields []wireField, remainingMilliseconds int64) error {
	switch {
	case request == "":
		return &MalformedError{Reason: "Request is missing"}
	case catalogue == "":
		return &MalformedError{Reason: "Catalogue is missing"}
	case shard == "":
		return &MalformedError{Reason: "Shard is missing"}
	case len(fields) > MaxFields:
		return &MalformedError{Reason: "too many fields"}
	case remainingMilliseconds <= 0 || remainingMilliseconds > MaxRemaining.Milliseconds():
		return &MalformedError{Reason: "RemainingMilliseconds is out of range"}
	}
	return nil
}
