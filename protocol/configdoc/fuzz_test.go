package configdoc_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// Guards against documents that make a host panic, or that decode to something else
// after they are encoded again.
func FuzzDecodeManifest(f *testing.F) {
	configuration, problems := assemble([]byte(routesText), []byte(catalogueText))
	require.Empty(f, problems)
	publication, problems := configdoc.Codec{}.EncodeConfiguration(9, ebonyworks.ConfigurationVersion{Revision: 8}, configuration)
	require.Empty(f, problems)
	f.Add(publication.ManifestBytes)
	f.Fuzz(func(t *testing.T, bytes []byte) {
		manifest, problems := configdoc.Codec{}.DecodeManifest(bytes)
		if problems != nil {
			return
		}
		encoded, err := configdoc.Codec{}.EncodeManifest(manifest)
		require.NoError(t, err)
		again, problems := configdoc.Codec{}.DecodeManifest(encoded)
		require.Empty(t, problems)
		require.Equal(t, manifest, again)
	})
}

// Guards against the same failures in parts.
func FuzzAssemble(f *testing.F) {
	f.Add([]byte(routesText), []byte(catalogueText))
	f.Fuzz(func(t *testing.T, routes, catalogue []byte) {
		configuration, problems := assemble(routes, catalogue)
		if problems == nil {
			require.Equal(t, configuration, reencode(t, configuration))
		}
	})
}

// Guards against the same failures in host lists.
func FuzzDecodeHosts(f *testing.F) {
	f.Add([]byte(hostsText))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		hosts, problems := configdoc.Codec{}.DecodeHosts(bytes)
		if problems != nil {
			return
		}
		encoded, err := configdoc.Codec{}.EncodeHosts(hosts)
		require.NoError(t, err)
		again, problems := configdoc.Codec{}.DecodeHosts(encoded)
		require.Empty(t, problems)
		require.Equal(t, hosts, again)
	})
}
