package main

import (
	"os"
	"path/filepath"
)

// replace writes a file atomically, since a balancer may read it at any moment.
func replace(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".plan-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(text); err == nil {
		err = f.Chmod(0o644)
	}
	if err == nil {
		// Without it, after a crash of the machine the new name could exist without the contents.
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
