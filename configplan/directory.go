package configplan

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// Permissions of published files and directories; they hold no secrets.
const (
	filePermissions      = 0o644
	directoryPermissions = 0o755
)

// Directory is a directory that holds one file for each value. The path of a
// file within the directory is its key.
type Directory string

// Write stores the values of a publication. The head comes last. Files of
// parts that the head doesn't list stay.
func (d Directory) Write(publication configdoc.Publication) error {
	for _, value := range publication.Values() {
		path := d.path(value.Key)
		if err := os.MkdirAll(filepath.Dir(path), directoryPermissions); err != nil {
			return errors.Wrap(err, "create directory")
		}
		if err := os.WriteFile(path, value.Bytes, filePermissions); err != nil {
			return errors.Wrapf(err, "write value %q", value.Key)
		}
	}
	return nil
}

// Read returns the publication and its configuration, or every mistake. The
// error is set if a file can't be read for a reason other than that a listed
// part doesn't exist.
func (d Directory) Read() (configdoc.Publication, *ebonyworks.Configuration, []ebonyworks.Problem, error) {
	var codec configdoc.Codec
	var publication configdoc.Publication
	var problems []ebonyworks.Problem
	bytes, err := os.ReadFile(d.path(configdoc.ManifestKey))
	if err != nil {
		return publication, nil, nil, errors.Wrap(err, "read head")
	}
	publication.ManifestBytes = bytes
	if publication.Manifest, problems = codec.DecodeManifest(bytes); problems != nil {
		return publication, nil, problems, nil
	}
	for i, part := range publication.Manifest.Parts {
		bytes, err := os.ReadFile(d.path(configdoc.PartKey(part.Name)))
		if errors.Is(err, fs.ErrNotExist) {
			place := jsonc.Index("Parts", i)
			problems = append(problems, ebonyworks.Problem{Path: place, Message: "no file for part " + part.Name})
			continue
		}
		if err != nil {
			return publication, nil, nil, errors.Wrapf(err, "read part %q", part.Name)
		}
		publication.Parts = append(publication.Parts, ebonyworks.ConfigurationPart{Name: part.Name, Bytes: bytes})
	}
	if problems != nil {
		return publication, nil, problems, nil
	}
	configuration, problems := codec.Assemble(publication.Version(), publication.Manifest, publication.Parts)
	return publication, configuration, problems, nil
}

func (d Directory) path(key ebonyworks.ConfigurationKey) string {
	return filepath.Join(string(d), filepath.FromSlash(string(key)))
}
