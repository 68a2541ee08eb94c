package net

import (
	"time"

	"tealtiller/internal/discovery"
)

// adopt takes a configuration as the one in force.
func (n *Node) adopt(cfg NodeConfig) {
	n.cfg = cfg
	n.watch.configure(cfg.Settings.Policy)
	n.delays.aims(cfg.Settings.Policy)
	n.limitMemory()
}

// Reload takes in a configuration that has been replaced; it may be called from any goroutine but the loop, on
// which nothing is read. One that makes no sense changes nothing.
func (n *Node) Reload(load func() (NodeConfig, error)) {
	<-n.booted
	cfg, err := load()
	if err == nil && len(cfg.KnownHosts) > 0 {
		_, err = discovery.Parse(cfg.KnownHosts) // only checked: what discovery has told since is newer
	}
	n.post(func(time.Duration) {
		if err != nil {
			n.count.Add("configurations refused")
			n.log.Error("configuration-refused", "reason", err)
			return
		}
		n.reloaded(cfg)
	})
}

// reloaded swaps in what has changed. Requests, the list and all that is known of hosts stay.
func (n *Node) reloaded(cfg NodeConfig) {
	n.count.Add("configurations taken in")
	n.log.Info("configuration-taken", "discovery", cfg.DiscoveryAddr, "cells", cfg.CellPlan.CellCount())
	if cfg.ListenAddr != n.cfg.ListenAddr || cfg.AdminAddr != n.cfg.AdminAddr || cfg.Name != n.cfg.Name {
		n.log.Warn("restart-needed", "reason", "another name or listening address")
		cfg.ListenAddr, cfg.AdminAddr, cfg.Name = n.cfg.ListenAddr, n.cfg.AdminAddr, n.cfg.Name
	}
	n.adopt(cfg)
	n.table.Reconfigure(cfg.Settings.Policy)
	n.table.CallModule(n.now(), func() { n.fleet.SetPlan(n.now(), cfg.CellPlan) })
	n.reweigh(n.now())
	n.recorder.turn(n, n.now())
	n.turnZones(n.now())
	if cfg.DiscoveryAddr != n.watch.watcher.Address() {
		n.watch.watcher.MoveTo(n.now(), cfg.DiscoveryAddr)
	}
}
