// Package server is a stand-in for the backend servers. It follows
// docs/backend-protocol.md, models their limits and injects faults.
package server

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

const (
	defaultItems = 1000
	keyAlphabet  = "0123456789abcdefghijklmnopqrstuvwxyz"
	keyLength    = 6
	// absentShare is the inverse of the share of items that a snapshot lacks.
	absentShare = 10
)

var shades = []string{"1N", "2N", "4N", "5A", "6G", "7N", "8A", "9V"}

// Contents generates what each snapshot of a catalogue holds. Two Contents
// with the same fields generate the same rows, so a check can compute the true
// rows of any key without asking a server. The zero value is usable.
type Contents struct {
	Seed uint64
	// Items is the number of keys of each catalogue, 1,000 by default.
	Items int

	mu sync.Mutex
	// keys caches the sorted keys of each catalogue of the deployment.
	keys map[ebonyworks.CatalogueID][]string
}

// Keys returns the sorted keys of all items of the catalogue. The slice is shared.
func (c *Contents) Keys(catalogue ebonyworks.CatalogueID) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if keys, ok := c.keys[catalogue]; ok {
		return keys
	}
	if c.keys == nil {
		c.keys = make(map[ebonyworks.CatalogueID][]string)
	}
	keys := c.generate(catalogue)
	c.keys[catalogue] = keys
	return keys
}

func (c *Contents) generate(catalogue ebonyworks.CatalogueID) []string {
	random := rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(catalogue))))
	count := c.Items
	if count <= 0 {
		count = defaultItems
	}
	keys := make([]string, 0, count)
	for range count {
		var key [keyLength]byte
		for i := range key {
			key[i] = keyAlphabet[random.IntN(len(keyAlphabet))]
		}
		keys = append(keys, string(key[:]))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// Row returns the row of a key in a snapshot, or false if the snapshot lacks
// the key. The field Snapshot repeats the number, so that rows of different
// snapshots can be told apart.
func (c *Contents) Row(catalogue ebonyworks.CatalogueID, number ebonyworks.SnapshotNumber, key string) (ebonyworks.Row, bool) {
	version := c.hash(catalogue, key, uint64(number))
	if version%absentShare == 0 {
		return ebonyworks.Row{}, false
	}
	item := c.hash(catalogue, key, 0)
	return ebonyworks.Row{Key: key, Fields: []ebonyworks.Field{
		{Name: "Length", Value: strconv.FormatUint(20+item>>8%13*5, 10)},
		{Name: "Shade", Value: shades[item%uint64(len(shades))]},
		{Name: "Snapshot", Value: strconv.FormatUint(uint64(number), 10)},
		{Name: "Stock", Value: strconv.FormatUint(version>>8%20, 10)},
	}}, true
}

// Rows returns the rows of a snapshot that are within both key ranges and
// match all filters, ordered by key.
func (c *Contents) Rows(catalogue ebonyworks.CatalogueID, number ebonyworks.SnapshotNumber, shard, keys ebonyworks.KeyRange, filters []ebonyworks.Field) []ebonyworks.Row {
	all := c.Keys(catalogue)
	rows := make([]ebonyworks.Row, 0)
	for _, key := range all[sort.SearchStrings(all, max(shard.From, keys.From)):] {
		if !shard.Contains(key) || !keys.Contains(key) {
			break
		}
		row, ok := c.Row(catalogue, number, key)
		if ok && matches(row, filters) {
			rows = append(rows, row)
		}
	}
	return rows
}

func matches(row ebonyworks.Row, filters []ebonyworks.Field) bool {
	for _, filter := range filters {
		if !slices.Contains(row.Fields, filter) {
			return false
		}
	}
	return true
}

func (c *Contents) hash(catalogue ebonyworks.CatalogueID, key string, number uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(c.Seed)
	_, _ = digest.WriteString(string(catalogue))
	_, _ = digest.WriteString("\x00" + key)
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], number)
	_, _ = digest.Write(buffer[:])
	return digest.Sum64()
}
