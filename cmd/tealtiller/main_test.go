package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
)

// Without a sub-command the program serves, also with an empty EDGE_OPERATOR, which names no file.
func TestServeIsTheDefault(t *testing.T) {
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

func TestCheckReportsEveryErrorOfEveryFile(t *testing.T) {
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
	var all operator.ErrorList
	require.ErrorAs(t, err, &all)
	assert.Len(t, all, 4)
	assert.Equal(t, good+": valid\n", out.String())
	assert.NoError(t, check{Files: []string{good}}.Run(&out))
}

func TestCellsPrintsHostsAndCarriers(t *testing.T) {
	list := filepath.Join(t.TempDir(), "list.json")
	require.NoError(t, os.WriteFile(list, []byte(`{"revision":1,"complete":true,"members":[
		{"id":"s-0","host_port":"127.0.0.1:1","locality":"a","flavor":"m","cell":1,"phase":"in_service","size":2,"up_since_ms":0}]}`), 0o600))
	var out bytes.Buffer
	at := time.Date(2026, 12, 2, 3, 10, 0, 0, time.UTC)
	require.NoError(t, inspect{File: "../../deploy/operator.hcl", List: list, At: at}.Run(&out))
	for _, want := range []string{"1 hosts, size 2", "(none: requests that cannot overflow are refused)", "100% of its flights have moved", "dyfed-air severn-link"} {
		assert.Contains(t, out.String(), want)
	}
}

// From records to a fleet, to two plans, and to their differences.
func TestPlans(t *testing.T) {
	folder := t.TempDir()
	in := func(name string) string { return filepath.Join(folder, name) }
	var records bytes.Buffer
	for i := range 30 {
		for b, room := range []string{"a", "b"} {
			require.NoError(t, json.NewEncoder(&records).Encode(placement.Record{Version: 1, At: 1e12 + int64(5000*i+b), Balancer: room, Room: room,
				Hosts:       []placement.RecordedHost{{ID: "h0", Room: "a", Kind: "k", X0: 0.5}, {ID: "h1", Room: "b", Kind: "k", X0: 0.5}},
				Connections: []placement.FlightConnections{{Key: "1", Host: "h0", OpenByClass: map[string]int{"lookup": 5}}, {Key: "2", Host: "h1", OpenByClass: map[string]int{"lookup": 5}}}}))
		}
	}
	require.NoError(t, os.WriteFile(in("records"), records.Bytes(), 0o600))
	var out bytes.Buffer
	run := func(args ...string) error {
		var c commands
		parser, err := kong.New(&c, kong.BindTo(&out, (*io.Writer)(nil)))
		require.NoError(t, err)
		k, err := parser.Parse(args)
		require.NoError(t, err)
		return k.Run(&c)
	}
	require.NoError(t, run("plan", "gather", in("records"), "--out", in("fleet")))
	assert.Contains(t, out.String(), "2 hosts, 2 flights; 0 invalid lines")
	require.NoError(t, run("plan", "--in", in("fleet"), "--out", in("a"), "--quiet"))
	assert.Contains(t, out.String(), "found by")
	require.NoError(t, run("plan", "--in", in("fleet"), "--out", in("b"), "--hosts", "--quiet"))
	require.NoError(t, run("plan", "check", in("a"), in("b")))
	out.Reset()
	require.NoError(t, run("plan", "diff", in("a"), in("b")))
	assert.Contains(t, out.String(), "2 are no longer in the plan")
	var all operator.ErrorList
	require.ErrorAs(t, run("plan", "check", in("a"), in("fleet")), &all)
	assert.Len(t, all, 1)
	assert.Error(t, run("plan", "--in", in("fleet"), "--even", "0.5"))
}

// A file that cannot be replaced stays unchanged, and no temporary file is left.
func TestReplaceFailureKeepsFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "plan.json")
	require.NoError(t, os.MkdirAll(filepath.Join(path, "old"), 0o700)) // renaming a file onto a directory fails
	require.Error(t, replace(path, []byte("new")))
	left, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, left, 1)
	assert.DirExists(t, filepath.Join(path, "old"))
}
