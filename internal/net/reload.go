package net

import (
	"time"

	"tealtiller/internal/discovery"
)

// setConfig puts a configuration into force.
func (n *Node) setConfig(cfg NodeConfig) {
	n.cfg = cfg
	n.watch.configure(cfg.Settings.Policy)
	n.delays.setThreshold(cfg.Settings.Policy)
	n.limitMemory()
}

// Reload loads and applies a replaced configuration; an invalid one changes nothing. It may be called from any
// goroutine except the loop, which must not be blocked by reading files.
func (n *Node) Reload(load func() (NodeConfig, error)) {
	<-n.booted
	cfg, err := load()
	if err == nil && len(cfg.KnownHosts) > 0 {
		_, err = discovery.Parse(cfg.KnownHosts) // only validated: the list received from discovery since the start is newer
	}
	n.post(func(time.Duration) {
		if err != nil {
			n.counters.Add("configurations refused")
			n.log.Error("configuration-refused", "reason", err)
			return
		}
		n.applyReload(cfg)
	})
}

// applyReload applies the changes. Requests, the host list and everything known of hosts are kept.
func (n *Node) applyReload(cfg NodeConfig) {
	n.counters.Add("configurations taken in")
	n.log.Info("configuration-taken", "discovery", cfg.DiscoveryAddr, "cells", cfg.CellPlan.CellCount())
	if cfg.ListenAddr != n.cfg.ListenAddr || cfg.AdminAddr != n.cfg.AdminAddr || cfg.Name != n.cfg.Name {
		n.log.Warn("restart-needed", "reason", "another name or listening address")
		cfg.ListenAddr, cfg.AdminAddr, cfg.Name = n.cfg.ListenAddr, n.cfg.AdminAddr, n.cfg.Name
	}
	n.setConfig(cfg)
	n.table.Reconfigure(cfg.Settings.Policy)
	n.table.CallModule(n.now(), func() { n.fleet.SetPlan(n.now(), cfg.CellPlan) })
	n.updatePlanWeights(n.now())
	n.recorder.configure(n, n.now())
	n.configureZones(n.now())
	if cfg.DiscoveryAddr != n.watch.watcher.Address() {
		n.watch.watcher.MoveTo(n.now(), cfg.DiscoveryAddr)
	}
}
