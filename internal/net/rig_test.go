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
	return &rig{t: t, settings: map[string]string{"hosts": "1", "mode": "pass", "probing": "false", "discovery": "automatic",
		"siblings": "1", "aim": "2000000000", "tries": "6", "class": "lookup", "sockets": "0", "connect": "1s",
		"effect": "safe", "scope": "all", "window": "5s", "deadline": "1.2s", "binds": "false"},
		peers: map[string]*peer{}, upstreams: make(chan stdnet.Conn, 64), discoveryConns: make(chan stdnet.Conn, 64)}
}

// connect dials for the node, subject to hold and let, and to failures set in dialError.
func (r *rig) connect(ctx context.Context, network, address string) (stdnet.Conn, error) {
	if gate := r.dialGate.Load(); gate != nil {
		select {
		case <-*gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if r.dialError != nil && strings.Contains(r.known, address) {
		if err := r.dialError(); err != nil {
			return nil, err
		}
	}
	if r.discoveryDialError != nil && !strings.Contains(r.known, address) {
		return nil, r.discoveryDialError
	}
	return (&stdnet.Dialer{KeepAlive: -1}).DialContext(ctx, network, address)
}

// listen accepts connections on a new address and sends them to the channel.
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

// freeAddress is a loopback address at which nobody listens and that no test has used.
func (r *rig) freeAddress() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:3000", 100+os.Getpid()%100, 1+n/200, 1+n%200)
}

func (r *rig) start() {
	r.started = true
	var hosts, dead int
	_, _ = fmt.Sscan(r.settings["hosts"], &hosts)
	_, _ = fmt.Sscan(r.settings["dead"], &dead)
	var members []string
	for i := range hosts + dead {
		address := r.freeAddress()
		if i < hosts {
			address = r.listen(r.upstreams)
		}
		members = append(members, fmt.Sprintf(
			`{"id":"s-%d","host_port":%q,"locality":"a","flavor":"m","cell":1,"phase":"in_service","size":1,"up_since_ms":0}`, i, address))
	}
	r.known = fmt.Sprintf(`{"revision":41,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	r.address, r.discoveryAddr = r.freeAddress(), r.listen(r.discoveryConns)
	folder, err := os.MkdirTemp("", "node") // short: the path of the Unix socket is limited
	require.NoError(r.t, err)
	r.folder = folder
	r.t.Cleanup(func() { _ = os.RemoveAll(folder) })
	r.launch()
}

// launch starts a node.
func (r *rig) launch() {
	env := map[string]string{"EDGE_LISTEN": r.address, "EDGE_DISCOVERY": r.listen(r.discoveryConns)}
	if r.settings["admin"] != "" {
		r.admin = r.freeAddress()
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
	r.node, r.exited = NewNode(cfg, list, io.Discard, filepath.Join(r.folder, r.settings["tmp"]), slog.New(slog.NewTextHandler(&r.log, nil))), make(chan error, 1)
	// Long time-outs, so that delays of a busy machine do not count as silence.
	r.node.commandTimeout, r.node.probeTimeout, r.node.watch.watcher.MinGrace = stepTimeout, stepTimeout, 10*stepTimeout
	r.node.listWait = 0 // most scenarios have no discovery that answers
	for name, span := range map[string]*time.Duration{"silence": &r.node.lineTimeout, "patience": &r.node.commandTimeout, "listwait": &r.node.listWait,
		"grace": &r.node.watch.watcher.MinGrace} {
		if s, ok := r.settings[name]; ok {
			*span, err = time.ParseDuration(s)
			require.NoError(r.t, err)
		}
	}
	if r.settings["stale"] != "" && r.before == nil { // as a killed process leaves it
		l, err := stdnet.ListenUnix("unixpacket", &stdnet.UnixAddr{Name: r.node.rendezvousPath(), Net: "unixpacket"})
		require.NoError(r.t, err)
		l.SetUnlinkOnClose(false)
		require.NoError(r.t, l.Close())
	}
	r.node.connect = r.connect
	node, exited := r.node, r.exited
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		_ = node.engine.Stop(ctx)
	}
	go func() {
		exited <- node.Run()
		stop() // the end of the process would close its sockets
	}()
	require.NoError(r.t, r.withTimeout(func() error { <-node.booted; return nil }))
	r.t.Cleanup(func() {
		go stop() // takes half a second, and no test needs to wait for it
		for _, p := range r.peers {
			if p.TCPConn != nil {
				_ = p.Close()
			}
		}
	})
}

// load reads the configuration, and the operator's file if the scenario sets one.
func (r *rig) load() (cfg NodeConfig, err error) {
	if text := r.settings["cells"]; text != "" {
		if plan, ok := r.settings["plan"]; ok {
			if err := os.WriteFile(filepath.Join(r.folder, "plan.json"), []byte(plan), 0o600); err != nil {
				return cfg, err
			}
		}
		file, err := operator.Parse([]byte(strings.ReplaceAll(text, ";", "\n")), filepath.Join(r.folder, "operator.hcl"))
		if err != nil {
			return cfg, err
		}
		cfg.CellPlan, cfg.Placement, cfg.Failover = file.Cells, file.Placement, file.Failover
	}
	cfg.Config, err = r.source.Load()
	return cfg, err
}

// config is the text of a configuration with the rig's discovery address.
func (r *rig) config() string {
	span := func(key string) int64 {
		d, err := time.ParseDuration(r.settings[key])
		require.NoError(r.t, err)
		return int64(d)
	}
	set := fmt.Sprintf(`{"allowed":{"tryLimit":%s,"connectTimeout":%d,"retryAfter":true,"probing":%s},"discovery":%q,"tick":4000000,"siblings":%s,
		"familyInfo":{"groups":true,"mode":%q,"messageAim":[250000000]},
		"grades":[{"name":%q,"aim":%s,"deadline":%d,"effect":%q,"dedupScope":%q,"repeatWindow":%d}],
		"invariants":{"askWithin":10000000000,"coldFrom":0.15,"fall":1000000000,"onlyDrainingBinds":%s,"overloadFactor":3,"stopSendingWithin":300000000,"warmAfter":22000000000}}`,
		r.settings["tries"], span("connect"), r.settings["probing"], r.settings["discovery"], r.settings["siblings"], r.settings["mode"], r.settings["class"],
		r.settings["aim"], span("deadline"), r.settings["effect"], r.settings["scope"], span("window"), r.settings["binds"])
	return fmt.Sprintf(`{"name":"n0","discovery":%q,"seed":"7","limits":{"sockets":%s},"known":%s,"settings":%s}`,
		r.discoveryAddr, r.settings["sockets"], r.known, set)
}
