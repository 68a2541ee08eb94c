package net

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	stdnet "net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tealtiller/internal/discovery"
	"tealtiller/internal/operator"
	"tealtiller/internal/settings"
)

func newRig(t *testing.T) *rig {
	return &rig{t: t, set: map[string]string{"hosts": "1", "mode": "pass", "probing": "false", "discovery": "automatic",
		"siblings": "1", "aim": "2000000000", "tries": "6", "class": "lookup", "sockets": "0", "connect": "1s",
		"effect": "safe", "scope": "all", "window": "5s", "deadline": "1.2s", "binds": "false"},
		peers: map[string]*peer{}, upstreams: make(chan stdnet.Conn, 64), pools: make(chan stdnet.Conn, 64)}
}

// connect is the node's way to others, through the gate of hold and let.
func (r *rig) connect(ctx context.Context, network, address string) (stdnet.Conn, error) {
	if gate := r.held.Load(); gate != nil {
		select {
		case <-*gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if r.fail != nil && strings.Contains(r.known, address) {
		if err := r.fail(); err != nil {
			return nil, err
		}
	}
	return (&stdnet.Dialer{KeepAlive: -1}).DialContext(ctx, network, address)
}

func (r *rig) listen(to chan stdnet.Conn) string {
	l, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			to <- c
		}
	}()
	return l.Addr().String()
}

var addresses atomic.Int64

// free is an address at which nobody listens: of the loopback range, one that no test has had.
func (r *rig) free() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:3000", 100+os.Getpid()%100, 1+n/200, 1+n%200)
}

func (r *rig) start() {
	r.started = true
	var hosts, dead int
	_, _ = fmt.Sscan(r.set["hosts"], &hosts)
	_, _ = fmt.Sscan(r.set["dead"], &dead)
	var members []string
	for i := range hosts + dead {
		address := r.free()
		if i < hosts {
			address = r.listen(r.upstreams)
		}
		members = append(members, fmt.Sprintf(
			`{"id":"s-%d","host_port":%q,"locality":"a","flavor":"m","cell":1,"phase":"in_service","size":1,"up_since_ms":0}`, i, address))
	}
	r.known = fmt.Sprintf(`{"revision":41,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	r.address, r.pool = r.free(), r.listen(r.pools)
	folder, err := os.MkdirTemp("", "node") // short: it holds a Unix socket
	require.NoError(r.t, err)
	r.folder = folder
	r.t.Cleanup(func() { _ = os.RemoveAll(folder) })
	r.launch()
}

// launch starts a node.
func (r *rig) launch() {
	env := map[string]string{"EDGE_LISTEN": r.address, "EDGE_DISCOVERY": r.listen(r.pools)}
	if r.set["admin"] != "" {
		r.admin = r.free()
		env["EDGE_ADMIN_ADDR"] = r.admin
	}
	r.path = filepath.Join(r.t.TempDir(), "config.json")
	env["EDGE_CONFIG"] = r.path
	require.NoError(r.t, os.WriteFile(r.path, []byte(r.config()), 0o600))
	r.source = settings.NewSource(func(name string) string { return env[name] })
	cfg, err := r.load()
	require.NoError(r.t, err)
	list, err := discovery.Parse(cfg.KnownHosts)
	require.NoError(r.t, err)
	r.node, r.exited = NewNode(cfg, list, io.Discard, filepath.Join(r.folder, r.set["tmp"]), slog.New(slog.NewTextHandler(&r.log, nil))), make(chan error, 1)
	r.node.patience, r.node.probeWait, r.node.watch.watcher.MinGrace = limit, limit, 10*limit // what a busy machine delays is no silence
	r.node.listWait = 0                                                                       // most scenarios have no discovery that answers
	for name, span := range map[string]*time.Duration{"silence": &r.node.silence, "patience": &r.node.patience, "listwait": &r.node.listWait,
		"grace": &r.node.watch.watcher.MinGrace} {
		if s, ok := r.set[name]; ok {
			*span, err = time.ParseDuration(s)
			require.NoError(r.t, err)
		}
	}
	if r.set["stale"] != "" && r.before == nil { // as a killed process leaves it
		l, err := stdnet.ListenUnix("unixpacket", &stdnet.UnixAddr{Name: r.node.rendezvous(), Net: "unixpacket"})
		require.NoError(r.t, err)
		l.SetUnlinkOnClose(false)
		require.NoError(r.t, l.Close())
	}
	r.node.connect = r.connect
	node, exited := r.node, r.exited
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_ = node.engine.Stop(ctx)
	}
	go func() {
		exited <- node.Run()
		stop() // as the end of the process does
	}()
	require.NoError(r.t, r.within(func() error { <-node.booted; return nil }))
	r.t.Cleanup(func() {
		go stop() // gnet takes half a second for it, and nobody waits for that
		for _, p := range r.peers {
			if p.TCPConn != nil {
				_ = p.Close()
			}
		}
	})
}

// load reads the configuration, and the operator's file where the scenario has one.
func (r *rig) load() (t NodeConfig, err error) {
	if text := r.set["cells"]; text != "" {
		if plan, ok := r.set["plan"]; ok {
			if err := os.WriteFile(filepath.Join(r.folder, "plan.json"), []byte(plan), 0o600); err != nil {
				return t, err
			}
		}
		file, err := operator.Parse([]byte(strings.ReplaceAll(text, ";", "\n")), filepath.Join(r.folder, "operator.hcl"))
		if err != nil {
			return t, err
		}
		t.CellPlan, t.Placement, t.Failover = file.Cells, file.Placement, file.Failover
	}
	t.Config, err = r.source.Load()
	return t, err
}

// config is the text of a configuration whose file names a discovery of its own.
func (r *rig) config() string {
	span := func(key string) int64 {
		d, err := time.ParseDuration(r.set[key])
		require.NoError(r.t, err)
		return int64(d)
	}
	set := fmt.Sprintf(`{"allowed":{"tryLimit":%s,"connectTimeout":%d,"retryAfter":true,"probing":%s},"discovery":%q,"tick":4000000,"siblings":%s,
		"familyInfo":{"groups":true,"mode":%q,"messageAim":[250000000]},
		"grades":[{"name":%q,"aim":%s,"deadline":%d,"effect":%q,"dedupScope":%q,"repeatWindow":%d}],
		"invariants":{"askWithin":10000000000,"coldFrom":0.15,"fall":1000000000,"onlyDrainingBinds":%s,"overloadFactor":3,"stopSendingWithin":300000000,"warmAfter":22000000000}}`,
		r.set["tries"], span("connect"), r.set["probing"], r.set["discovery"], r.set["siblings"], r.set["mode"], r.set["class"],
		r.set["aim"], span("deadline"), r.set["effect"], r.set["scope"], span("window"), r.set["binds"])
	return fmt.Sprintf(`{"name":"n0","discovery":%q,"seed":"7","limits":{"sockets":%s},"known":%s,"settings":%s}`,
		r.pool, r.set["sockets"], r.known, set)
}
