// Package configdir reads a configuration from a directory that the operators'
// tool has written.
package configdir

import (
	"crypto/sha256"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// Load decodes and validates the configuration in the directory. Each value is
// a file whose path is its key.
func Load(directory string) (*ebonyworks.Configuration, error) {
	bytes, err := readKey(directory, configdoc.ManifestKey)
	if err != nil {
		return nil, err
	}
	var codec configdoc.Codec
	head, problems := codec.DecodeManifest(bytes)
	if len(problems) > 0 {
		return nil, problemError(string(configdoc.ManifestKey), problems)
	}
	parts, err := readParts(directory, head)
	if err != nil {
		return nil, err
	}
	mark := ebonyworks.ConfigurationVersion{Revision: head.Revision, Digest: sha256.Sum256(bytes)}
	configuration, problems := codec.Assemble(mark, head, parts)
	if len(problems) > 0 {
		return nil, problemError("configuration", problems)
	}
	return configuration, nil
}

func readParts(directory string, head ebonyworks.Manifest) ([]ebonyworks.ConfigurationPart, error) {
	var parts []ebonyworks.ConfigurationPart
	for _, listed := range head.Parts {
		bytes, err := readKey(directory, configdoc.PartKey(listed.Name))
		if err != nil {
			return nil, err
		}
		parts = append(parts, ebonyworks.ConfigurationPart{Name: listed.Name, Bytes: bytes})
	}
	return parts, nil
}

// readKey reads the file of a key. Part names come from the head, so keys that
// lead out of the directory are refused.
func readKey(directory string, key ebonyworks.ConfigurationKey) ([]byte, error) {
	path := filepath.FromSlash(string(key))
	if !filepath.IsLocal(path) {
		return nil, errors.Errorf("key %q leaves the directory", key)
	}
	bytes, err := os.ReadFile(filepath.Join(directory, path))
	if err != nil {
		return nil, errors.Wrap(err, "read value")
	}
	return bytes, nil
}

func problemError(place string, problems []ebonyworks.Problem) error {
	first := problems[0]
	return errors.Errorf("%s: %s: %s (%d problems)", place, first.Path, first.Message, len(problems))
}
