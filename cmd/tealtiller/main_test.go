package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/operator"
)

// Without a sub-command it serves, also where EDGE_OPERATOR is set to nothing, which names no file.
func TestWithoutASubCommandItServes(t *testing.T) {
	t.Setenv("EDGE_OPERATOR", "")
	for _, args := range [][]string{{}, {"serve"}, {"--log-format", "json"}, {"--operator", "f.hcl"}} {
		var c commands
		parser, err := kong.New(&c)
		require.NoError(t, err)
		k, err := parser.Parse(args)
		require.NoError(t, err)
		assert.Equal(t, "serve", k.Selected().Name)
		assert.Equal(t, len(args) == 2 && args[0] == "--operator", c.Serve.Operator != "")
	}
}

func TestCheckTellsEveryErrorOfEveryFile(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := "../../deploy/operator.hcl"
	a, b := write("a.hcl", "cells {\n default = \"x\"\n cell \"y\" {}\n}\n"), write("b.hcl", "nonsense {}\n")
	var out bytes.Buffer
	err := check{Files: []string{a, good, b, filepath.Join(folder, "none")}}.Run(&out)
	var all operator.Error
	require.ErrorAs(t, err, &all)
	assert.Len(t, all, 4)
	assert.Equal(t, good+": good\n", out.String())
	assert.NoError(t, check{Files: []string{good}}.Run(&out))
}

func TestCellsTellsWhoIsWhere(t *testing.T) {
	list := filepath.Join(t.TempDir(), "list.json")
	require.NoError(t, os.WriteFile(list, []byte(`{"revision":1,"complete":true,"members":[
		{"id":"s-0","host_port":"127.0.0.1:1","locality":"a","flavor":"m","cell":1,"phase":"in_service","size":2,"up_since_ms":0}]}`), 0o600))
	var out bytes.Buffer
	at := time.Date(2026, 12, 2, 3, 10, 0, 0, time.UTC)
	require.NoError(t, inspect{File: "../../deploy/operator.hcl", List: list, At: at}.Run(&out))
	for _, want := range []string{"1 hosts, size 2", "(none: it refuses", "100% of its flights have crossed", "dyfed-air severn-link"} {
		assert.Contains(t, out.String(), want)
	}
}
