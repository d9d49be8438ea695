package configdoc_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

const routesText = `{
  // Written by hand.
  "Routes": [
    {"ID": "buscar", "Catalogue": "catálogo", "Kind": "Search", "Policy": "Coverage",
     "Domains": ["San José"], "DefaultDeadline": "1s", "MaxDeadline": "1500ms"},
    {"ID": "reservar", "Catalogue": "catálogo", "Kind": "Reservation", "DefaultDeadline": "1s", "MaxDeadline": "2s",},
  ],
}`

const catalogueText = `{
  "ID": "catálogo",
  "Services": [
    {"ID": "s1", "Slots": 2, "ConnectionCap": 25, "ConnectTime": "6ms", "Servers": [
      {"ID": "s1-a", "Address": "127.0.0.1:9001", "Domain": "San José"},
      {"ID": "s1-b", "Address": "[::1]:9001", "Domain": "Cartago"}]},
    {"ID": "s2", "Slots": 1, "ConnectionCap": 1, "ConnectTime": "0s", "Servers": [
      {"ID": "s2-a", "Address": "127.0.0.1:9003", "Domain": "Cartago"}]},
  ],
  "Partitions": [
    {"Epoch": 1, "Shards": [{"ID": "all", "Service": "s1", "Keys": {}}]},
    {"Epoch": 4, "Shards": [
      {"ID": "low", "Service": "s2", "Keys": {"To": "m"}},
      {"ID": "high", "Service": "s1", "Keys": {"From": "m"}}]},
  ],
}`

// assemble decodes the parts with a manifest that lists them.
func assemble(routes, catalogue []byte) (*ebonyworks.Configuration, []ebonyworks.Problem) {
	return assembleParts([]ebonyworks.ConfigurationPart{{Name: "Catalogue/catálogo", Bytes: catalogue}, {Name: "Routes", Bytes: routes}})
}

func assembleParts(parts []ebonyworks.ConfigurationPart) (*ebonyworks.Configuration, []ebonyworks.Problem) {
	manifest := ebonyworks.Manifest{Revision: 1}
	for _, part := range parts {
		manifest.Parts = append(manifest.Parts, ebonyworks.PartDigest{Name: part.Name, Digest: sha256.Sum256(part.Bytes)})
	}
	return configdoc.Codec{}.Assemble(ebonyworks.ConfigurationVersion{Revision: 1}, manifest, parts)
}

// reencode encodes the configuration, decodes it again and returns the result with
// the original version.
func reencode(t *testing.T, configuration *ebonyworks.Configuration) *ebonyworks.Configuration {
	var codec configdoc.Codec
	publication, problems := codec.EncodeConfiguration(7, ebonyworks.ConfigurationVersion{Revision: 6, Digest: ebonyworks.Digest{1}}, configuration)
	require.Empty(t, problems)
	again, problems := codec.EncodeConfiguration(7, ebonyworks.ConfigurationVersion{Revision: 6, Digest: ebonyworks.Digest{1}}, configuration)
	require.Empty(t, problems)
	require.Equal(t, publication, again)
	manifest, problems := codec.DecodeManifest(publication.ManifestBytes)
	require.Empty(t, problems)
	require.Equal(t, publication.Manifest, manifest)
	result, problems := codec.Assemble(configuration.Version, manifest, publication.Parts)
	require.Empty(t, problems)
	return result
}

// Guards against fields that are lost or changed when documents are decoded and
// encoded.
func TestAssemble(t *testing.T) {
	got, problems := assemble([]byte(routesText), []byte(catalogueText))
	require.Empty(t, problems)
	want := &ebonyworks.Configuration{
		Version: ebonyworks.ConfigurationVersion{Revision: 1},
		Routes: []ebonyworks.Route{
			{ID: "buscar", Catalogue: "catálogo", Policy: ebonyworks.PreferCoverage, Domains: []ebonyworks.DomainID{"San José"}, DefaultDeadline: time.Second, MaxDeadline: 1500 * time.Millisecond},
			{ID: "reservar", Catalogue: "catálogo", Kind: ebonyworks.ReservationRoute, DefaultDeadline: time.Second, MaxDeadline: 2 * time.Second},
		},
		Catalogues: []ebonyworks.Catalogue{{
			ID: "catálogo",
			Services: []ebonyworks.Service{
				{ID: "s1", Slots: 2, ConnectionCap: 25, ConnectTime: 6 * time.Millisecond, Servers: []ebonyworks.Server{
					{ID: "s1-a", Address: netip.MustParseAddrPort("127.0.0.1:9001"), Domain: "San José"},
					{ID: "s1-b", Address: netip.MustParseAddrPort("[::1]:9001"), Domain: "Cartago"},
				}},
				{ID: "s2", Slots: 1, ConnectionCap: 1, Servers: []ebonyworks.Server{
					{ID: "s2-a", Address: netip.MustParseAddrPort("127.0.0.1:9003"), Domain: "Cartago"},
				}},
			},
			Partitions: []ebonyworks.Partition{
				{Epoch: 1, Shards: []ebonyworks.Shard{{ID: "all", Service: "s1"}}},
				{Epoch: 4, Shards: []ebonyworks.Shard{
					{ID: "low", Service: "s2", Keys: ebonyworks.KeyRange{To: "m"}},
					{ID: "high", Service: "s1", Keys: ebonyworks.KeyRange{From: "m"}},
				}},
			},
		}},
	}
	assert.Equal(t, want, got)
	assert.Equal(t, want, reencode(t, got))
}

// Guards against accepting an invalid configuration, which hosts couldn't serve, and
// against problems with a wrong path.
func TestAssembleRejectsInvalidParts(t *testing.T) {
	tests := []struct{ name, old, replacement, path, message string }{
		{"route twice", `"reservar"`, `"buscar"`, `Routes[1].ID`, `route "buscar" appears twice`},
		{"no catalogue", `"reservar", "Catalogue": "catálogo"`, `"reservar", "Catalogue": "x"`, `Routes[1].Catalogue`, `no catalogue "x"`},
		{"kind", `"Search"`, `"search"`, `Routes[0].Kind`, `must be "Search" or "Reservation", not "search"`},
		{"policy", `"Policy": "Coverage",`, ``, `Routes[0].Policy`, `is missing`},
		{"wrong policy", `"Policy": "Coverage"`, `"Policy": "Fast"`, `Routes[0].Policy`, `must be "Latency" or "Coverage", not "Fast"`},
		{"policy of reservation", `"Reservation",`, `"Reservation", "Policy": "Coverage",`, `Routes[1].Policy`, `applies to search routes only`},
		{"route domain", `["San José"]`, `["Heredia"]`, `Routes[0].Domains[0]`, `no server of catalogue "catálogo" is in domain "Heredia"`},
		{"route domain twice", `["San José"]`, `["Cartago", "Cartago"]`, `Routes[0].Domains[1]`, `domain "Cartago" appears twice`},
		{"deadline", `"1500ms"`, `"-1s"`, `Routes[0].MaxDeadline`, `must be positive, not -1s`},
		{"deadline order", `"1500ms"`, `"999ms"`, `Routes[0].DefaultDeadline`, `must be at most MaxDeadline, 1s > 999ms`},
		{"unknown field", `"reservar",`, `"reservar", "Id": "",`, `Routes[1].Id`, `unknown field`},
		{"no routes", routesText, `{"Routes": []}`, `Routes`, `must list at least one route`},
		{"routes unreadable", routesText, `{`, `Routes`, `unexpected end of the document at line 1, column 2`},
		{"too large", `// Written by hand.`, "//" + strings.Repeat("x", 1<<20), `Routes`, fmt.Sprintf("has %d bytes, but a value must stay below 1048576", len(routesText)+(1<<20)-len(" Written by hand."))},
		{"other id", `"ID": "catálogo"`, `"ID": "catalogo"`, `Catalogue/catálogo.ID`, `must be that of the part's name, not "catalogo"`},
		{"service twice", `"ID": "s2"`, `"ID": "s1"`, `Catalogue/catálogo.Services[1].ID`, `service "s1" appears twice, first at Catalogue/catálogo.Services[0]`},
		{"slots", `"Slots": 2`, `"Slots": 0`, `Catalogue/catálogo.Services[0].Slots`, `must be positive, not 0`},
		{"cap", `"ConnectionCap": 25`, `"ConnectionCap": -1`, `Catalogue/catálogo.Services[0].ConnectionCap`, `must be positive, not -1`},
		{"connect time", `"0s"`, `"-1s"`, `Catalogue/catálogo.Services[1].ConnectTime`, `must not be negative, not -1s`},
		{"server twice", `"s2-a"`, `"s1-a"`, `Catalogue/catálogo.Services[1].Servers[0].ID`, `server "s1-a" appears twice, first at Catalogue/catálogo.Services[0].Servers[0]`},
		{"address twice", `127.0.0.1:9003`, `127.0.0.1:9001`, `Catalogue/catálogo.Services[1].Servers[0].Address`, `address 127.0.0.1:9001 appears twice, first at Catalogue/catálogo.Services[0].Servers[0]`},
		{"host name", `127.0.0.1:9003`, `localhost:9003`, `Catalogue/catálogo.Services[1].Servers[0].Address`, `must be an IP address and port such as "127.0.0.1:8080", not "localhost:9003"`},
		{"no port", `127.0.0.1:9003`, `127.0.0.1:0`, `Catalogue/catálogo.Services[1].Servers[0].Address`, `must have a port, not 127.0.0.1:0`},
		{"any address", `127.0.0.1:9003`, `0.0.0.0:9003`, `Catalogue/catálogo.Services[1].Servers[0].Address`, `must name one address, not 0.0.0.0:9003`},
		{"id with space", `"s2-a"`, `" s2-a"`, `Catalogue/catálogo.Services[1].Servers[0].ID`, `must not start or end with white space: " s2-a"`},
		{"id with control", `"s2-a"`, `"s2\na"`, `Catalogue/catálogo.Services[1].Servers[0].ID`, `must hold printable characters only: "s2\na"`},
		{"epoch order", `"Epoch": 4`, `"Epoch": 1`, `Catalogue/catálogo.Partitions[1].Epoch`, `must be greater than 1, not 1`},
		{"shard twice", `"high"`, `"low"`, `Catalogue/catálogo.Partitions[1].Shards[1].ID`, `shard "low" appears twice`},
		{"shard's service", `"high", "Service": "s1"`, `"high", "Service": "s3"`, `Catalogue/catálogo.Partitions[1].Shards[1].Service`, `no service "s3" in this catalogue`},
		{"gap at the start", `{"To": "m"}`, `{"From": "b", "To": "m"}`, `Catalogue/catálogo.Partitions[1].Shards[0].Keys.From`, `must be "", the end of the previous range, not "b"`},
		{"gap", `{"From": "m"}`, `{"From": "n"}`, `Catalogue/catálogo.Partitions[1].Shards[1].Keys.From`, `must be "m", the end of the previous range, not "n"`},
		{"overlap", `{"From": "m"}`, `{"From": "l"}`, `Catalogue/catálogo.Partitions[1].Shards[1].Keys.From`, `must be "m", the end of the previous range, not "l"`},
		{"open before the last", `{"To": "m"}`, `{}`, `Catalogue/catálogo.Partitions[1].Shards[0].Keys.To`, `must not be empty before the last shard, or the ranges overlap`},
		{"gap at the end", `{"From": "m"}`, `{"From": "m", "To": "z"}`, `Catalogue/catálogo.Partitions[1].Shards[1].Keys.To`, `must be empty on the last shard, or keys from "z" on belong to no shard`},
		{"empty range", `{"From": "m"}`, `{"From": "m", "To": "m"}`, `Catalogue/catálogo.Partitions[1].Shards[1].Keys`, `From must be before To, "m" >= "m"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, routesText+catalogueText, test.old)
			routes := strings.Replace(routesText, test.old, test.replacement, 1)
			catalogue := strings.Replace(catalogueText, test.old, test.replacement, 1)
			configuration, problems := assemble([]byte(routes), []byte(catalogue))
			assert.Nil(t, configuration)
			assert.Contains(t, problems, ebonyworks.Problem{Path: test.path, Message: test.message})
		})
	}
}

// Guards against accepting a manifest with which parts would be missing or assigned
// wrongly.
func TestDecodeManifestRejectsInvalid(t *testing.T) {
	digest := strings.Repeat("0", 64)
	manifest := func(revision, base, parts string) string {
		return `{"Revision": ` + revision + `, "Base": ` + base + `, "Parts": [` + parts + `]}`
	}
	part := func(name string) string { return `{"Name": "` + name + `", "Digest": "` + digest + `"}` }
	none := `{"Revision": 0, "Digest": "` + digest + `"}`
	tests := []struct{ name, text, path, message string }{
		{"revision", manifest("0", none, part("Routes")), "Revision", "must be positive"},
		{"base", manifest("3", `{"Revision": 3, "Digest": "`+digest+`"}`, part("Routes")), "Base.Revision", "must be less than Revision, 3 >= 3"},
		{"base digest", manifest("3", `{"Revision": 0, "Digest": "1`+digest[1:]+`"}`, part("Routes")), "Base.Digest", "must be zero if there is no base revision"},
		{"no routes", manifest("3", none, part("Catalogue/a")), "Parts", `must list the part "Routes"`},
		{"order", manifest("3", none, part("Routes")+","+part("Catalogue/a")), "Parts[1].Name", `names must be unique and in increasing order, but "Catalogue/a" follows "Routes"`},
		{"twice", manifest("3", none, part("Routes")+","+part("Routes")), "Parts[1].Name", `names must be unique and in increasing order, but "Routes" follows "Routes"`},
		{"other part", manifest("3", none, part("Hosts")+","+part("Routes")), "Parts[0].Name", `must be "Routes" or start with "Catalogue/", not "Hosts"`},
		{"path", manifest("3", none, part("Catalogue/..")+","+part("Routes")), "Parts[0].Name", `the catalogue's id must be a single path element: ".."`},
		{"digest", manifest("3", none, `{"Name": "Routes", "Digest": "12"}`), "Parts[0].Digest", "must be a SHA-256 digest of 64 hexadecimal digits"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			manifest, problems := configdoc.Codec{}.DecodeManifest([]byte(test.text))
			assert.Equal(t, ebonyworks.Manifest{}, manifest)
			assert.Contains(t, problems, ebonyworks.Problem{Path: test.path, Message: test.message})
		})
	}
}

// Guards against a configuration that is assembled from parts of another
// publication.
func TestAssembleChecksDigests(t *testing.T) {
	manifest := ebonyworks.Manifest{Revision: 1, Parts: []ebonyworks.PartDigest{{Name: "Routes"}}}
	_, problems := configdoc.Codec{}.Assemble(ebonyworks.ConfigurationVersion{}, manifest, []ebonyworks.ConfigurationPart{{Name: "Routes", Bytes: []byte(routesText)}})
	assert.Equal(t, []ebonyworks.Problem{{Path: "Parts[0].Digest", Message: `the bytes of "Routes" have another digest`}}, problems)
	_, problems = configdoc.Codec{}.Assemble(ebonyworks.ConfigurationVersion{}, manifest, nil)
	assert.Equal(t, []ebonyworks.Problem{{Path: "Parts", Message: "the manifest lists 1 parts, but 0 were given"}}, problems)
}

// Guards against encoding parts that hosts would reject because of their size.
func TestEncodeConfigurationRejectsLargeParts(t *testing.T) {
	configuration, problems := assemble([]byte(routesText), []byte(catalogueText))
	require.Empty(t, problems)
	configuration.Catalogues[0].Services[0].ID = ebonyworks.ServiceID(strings.Repeat("s", 1<<20))
	configuration.Catalogues[0].Partitions[0].Shards[0].Service = configuration.Catalogues[0].Services[0].ID
	configuration.Catalogues[0].Partitions[1].Shards[1].Service = configuration.Catalogues[0].Services[0].ID
	_, problems = configdoc.Codec{}.EncodeConfiguration(1, ebonyworks.ConfigurationVersion{}, configuration)
	require.Len(t, problems, 1)
	assert.Equal(t, "Catalogue/catálogo", problems[0].Path)
}

// Guards against writing the documents to keys that readers don't read.
func TestValues(t *testing.T) {
	configuration, problems := assemble([]byte(routesText), []byte(catalogueText))
	require.Empty(t, problems)
	publication, problems := configdoc.Codec{}.EncodeConfiguration(1, ebonyworks.ConfigurationVersion{}, configuration)
	require.Empty(t, problems)
	var keys []ebonyworks.ConfigurationKey
	for _, value := range publication.Values() {
		keys = append(keys, value.Key)
	}
	assert.Equal(t, []ebonyworks.ConfigurationKey{"Configuration/Parts/Catalogue/catálogo", "Configuration/Parts/Routes", "Configuration/Head"}, keys)
	assert.Equal(t, ebonyworks.ConfigurationVersion{Revision: 1, Digest: sha256.Sum256(publication.ManifestBytes)}, publication.Version())
}

const hostsText = `{"Hosts": [
  {"Name": "entry-1", "Role": "Entry", "Address": "127.0.0.1:8001", "Domain": "Cartago"},
  {"Name": "s1-a", "Role": "Server", "Address": "127.0.0.1:9001", "Domain": "San José", "Leaving": true}]}`

// Guards against host list entries that are lost, changed or wrongly accepted.
func TestHosts(t *testing.T) {
	hosts, problems := configdoc.Codec{}.DecodeHosts([]byte(hostsText))
	require.Empty(t, problems)
	want := []ebonyworks.ListedHost{
		{Name: "entry-1", Address: netip.MustParseAddrPort("127.0.0.1:8001"), Domain: "Cartago"},
		{Name: "s1-a", Role: ebonyworks.ServerRole, Address: netip.MustParseAddrPort("127.0.0.1:9001"), Domain: "San José", Leaving: true},
	}
	assert.Equal(t, want, hosts)
	wrong := strings.NewReplacer(`"Server"`, `"Zone"`, `"s1-a"`, `""`, `"Domain": "Cartago"`, `"Zone": ""`).Replace(hostsText)
	_, problems = configdoc.Codec{}.DecodeHosts([]byte(wrong))
	assert.Equal(t, []ebonyworks.Problem{
		{Path: "Hosts[0].Zone", Message: "unknown field"},
		{Path: "Hosts[0].Domain", Message: "is missing"},
		{Path: "Hosts[1].Role", Message: `must be "Entry" or "Server", not "Zone"`},
	}, problems)
	_, err := configdoc.Codec{}.EncodeHosts([]ebonyworks.ListedHost{{Name: "a", Domain: "b"}})
	assert.EqualError(t, err, "Hosts[0].Address: must be an IP address and port")
}

// Guards against examples in the documentation that hosts would reject.
func TestDocumentedExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	require.NoError(t, err)
	var examples [][]byte
	for _, block := range strings.Split(string(page), "```json\n")[1:] {
		text, _, _ := strings.Cut(block, "```")
		examples = append(examples, []byte(text))
	}
	require.Len(t, examples, 3)
	parts := []ebonyworks.ConfigurationPart{{Name: "Catalogue/catálogo-bloques", Bytes: examples[1]}, {Name: "Routes", Bytes: examples[0]}}
	_, problems := assembleParts(parts)
	assert.Empty(t, problems)
	_, problems = configdoc.Codec{}.DecodeHosts(examples[2])
	assert.Empty(t, problems)
}
