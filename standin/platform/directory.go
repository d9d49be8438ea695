package platform

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// LoadDirectory writes the value of each file in the directory whose bytes
// differ from the newest ones. The path of a file within the directory is the
// key. Keys without a file keep their values.
func (p *Platform) LoadDirectory(directory string) error {
	return p.loadDirectory(directory, time.Now())
}

// Preload is LoadDirectory for a platform that starts: all replicas see the
// values at once.
func (p *Platform) Preload(directory string) error {
	return p.loadDirectory(directory, time.Time{})
}

func (p *Platform) loadDirectory(directory string, written time.Time) error {
	return filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return errors.Wrap(err, "read directory of values")
		}
		if entry.IsDir() {
			return nil
		}
		return p.loadFile(directory, path, written)
	})
}

func (p *Platform) loadFile(directory, path string, written time.Time) error {
	relative, err := filepath.Rel(directory, path)
	if err != nil {
		return errors.Wrap(err, "name of value")
	}
	value, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read value")
	}
	key := ebonyworks.ConfigurationKey(filepath.ToSlash(relative))
	if !validKey(key) {
		return errors.Errorf("key %q is invalid", key)
	}
	if newest, ok := p.store.newest(key); ok && bytes.Equal(newest.bytes, value) {
		return nil
	}
	_, err = p.store.write(key, value, written)
	return err
}
