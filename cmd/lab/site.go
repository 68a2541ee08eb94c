package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"tealtiller/internal/sitegen"
)

// site generates a deployment.
type site struct {
	Seed  uint64 `required:"" help:"Seed of all random draws; the same seed writes the same bytes."`
	Out   string `default:"deploy/sites" type:"path" help:"Folder in which the folder of the deployment is made."`
	Words string `default:"deploy/sites/short-push" type:"existingdir" help:"Folder of the files with the protocol's field names; the deployment's folder gets links to them."`
}

func (c site) Run(out io.Writer) error {
	generated, err := sitegen.Generate(c.Seed)
	if err != nil {
		return err
	}
	folder := filepath.Join(c.Out, generated.Name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(folder, generated.Name+".toml")
	if err := os.WriteFile(path, generated.TOML, 0o644); err != nil {
		return err
	}
	for _, name := range sitegen.CompanionFiles {
		if err := link(filepath.Join(c.Words, name), filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, path)
	return err
}

// link makes a relative link, and replaces one that exists.
func link(target, path string) error {
	relative, err := filepath.Rel(filepath.Dir(path), target)
	if err != nil {
		return err
	}
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return err
	}
	return os.Symlink(relative, path)
}
