package configdir_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/retazos"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
	"github.com/ebonyworks/ebonyworks/standin/configdir"
)

// Guards against stand-ins that serve something else than what is published.
func TestLoad(t *testing.T) {
	plan := retazos.Plan(configplan.Addresses{})
	publication, problems := plan.Publish(3, ebonyworks.ConfigurationVersion{})
	require.Empty(t, problems)
	directory := t.TempDir()
	for _, value := range publication.Values() {
		path := filepath.Join(directory, filepath.FromSlash(string(value.Key)))
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, value.Bytes, 0o600))
	}
	want, problems := plan.Configuration()
	require.Empty(t, problems)
	got, err := configdir.Load(directory)
	require.NoError(t, err)
	assert.Equal(t, publication.Version(), got.Version)
	assert.ElementsMatch(t, want.Catalogues, got.Catalogues)

	routes := filepath.Join(directory, filepath.FromSlash(string(configdoc.PartKey(configdoc.RoutesPart))))
	require.NoError(t, os.WriteFile(routes, []byte("{}"), 0o600))
	_, err = configdir.Load(directory)
	assert.ErrorContains(t, err, "problems")
	require.NoError(t, os.Remove(routes))
	_, err = configdir.Load(directory)
	assert.ErrorIs(t, err, os.ErrNotExist)
	_, err = configdir.Load(t.TempDir())
	assert.ErrorIs(t, err, os.ErrNotExist)
}
