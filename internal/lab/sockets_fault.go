package lab

import (
	"math"
	"syscall"
	"time"

	"tealtiller/policy"
)

// playFault plays a fault from its start to its end.
func (s *SocketLab) playFault(f Fault) {
	s.mu.Lock()
	affected, length := f.affectedHosts(s.rng, s.specs, s.cellOf), parsedDuration(f.For)
	s.mu.Unlock()
	switch f.Kind {
	case "crash":
		s.crash(affected, length)
	case "drain":
		s.drain(affected, length, f.Size > 0)
	case "deploy":
		s.deploy(affected, length)
	case "errors":
		s.applyFor(length, func(on bool) { s.setErrorRate(affected, f.Size, on) })
	case "heavy":
		s.applyFor(length, func(on bool) { s.setLoadFactor(f.Carrier, f.Size, on) })
	case "discovery":
		s.applyFor(length, func(on bool) { s.setDiscoveryUp(!on) })
	case "drop":
		s.dropClients(f)
	case "restart":
		s.restart(s.balancers[len(s.balancers)-1])
	case "freeze":
		s.freeze(f.Part, length)
	case "dark", "one-way":
		s.darkenRoom(f.Room, affected, length, f.Kind == "one-way")
	}
}

// applyFor switches a fault on, and off again after a time; if the experiment ends first, it stays on.
func (s *SocketLab) applyFor(length time.Duration, set func(on bool)) {
	set(true)
	if s.sleep(length) {
		set(false)
	}
}

// crash stops hosts; discovery lists them as gone a second later.
func (s *SocketLab) crash(affected []Spec, length time.Duration) {
	for _, spec := range affected {
		s.hosts[spec.ID].shutDown()
	}
	s.sleep(time.Second)
	for _, spec := range affected {
		s.updateHost(spec.ID, policy.Gone)
	}
	if s.sleep(length - time.Second) {
		s.startAll(affected)
	}
}

// drain lets hosts drain for a time and then stops them; if they return, they start cold a second later.
func (s *SocketLab) drain(affected []Spec, length time.Duration, returns bool) {
	for _, spec := range affected {
		s.updateHost(spec.ID, policy.Draining)
	}
	if !s.sleep(length) {
		return
	}
	for _, spec := range affected {
		s.hosts[spec.ID].shutDown()
		s.updateHost(spec.ID, policy.Gone)
	}
	if returns && s.sleep(time.Second) {
		s.startAll(affected)
	}
}

// deploy replaces hosts in batches; each host drains, stops and starts cold a second later.
func (s *SocketLab) deploy(affected []Spec, length time.Duration) {
	batch := max(len(affected)/deployBatches, 1)
	for len(affected) > 0 {
		current := affected[:min(batch, len(affected))]
		affected = affected[len(current):]
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Done()
			s.drain(current, deployDrain, true)
		}()
		if !s.sleep(length / deployBatches) {
			return
		}
	}
}

// setErrorRate lets hosts fail a share of the openings, or none again.
func (s *SocketLab) setErrorRate(affected []Spec, share float64, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		share = 0
	}
	for _, spec := range affected {
		s.hosts[spec.ID].ErrorRate = share
	}
}

// setLoadFactor multiplies the load of each new connection of a carrier, or resets it.
func (s *SocketLab) setLoadFactor(carrier string, factor float64, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		factor = 0
	}
	s.loadFactors[carrier] = factor
}

// setDiscoveryUp sets whether discovery is reachable; calls that are waiting are woken.
func (s *SocketLab) setDiscoveryUp(up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveryUp = up
	close(s.listChanged)
	s.listChanged = make(chan struct{})
}

// dropClients has a share of the clients, of one carrier where named, drop their connections and reconnect.
func (s *SocketLab) dropClients(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.liveClients {
		if (f.Carrier == "" || c.carrier == f.Carrier) && s.rng.Float64() < f.Part {
			c.dropConnection()
		}
	}
}

// freeze stops a share of the balancers for a time; afterwards they continue with outdated state.
func (s *SocketLab) freeze(share float64, length time.Duration) {
	frozen := s.balancers[:int(math.Ceil(share*float64(len(s.balancers))-1e-9))]
	for _, n := range frozen {
		s.mu.Lock()
		n.frozen = true
		s.mu.Unlock()
		_ = n.cmd.Process.Signal(syscall.SIGSTOP)
	}
	s.sleep(length)
	for _, n := range frozen {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		s.mu.Lock()
		n.frozen, n.resumedAt = false, time.Now()
		s.mu.Unlock()
	}
}

// darkenRoom cuts a room off for a time, in both directions or, if its hosts accept what arrives, only their answers.
func (s *SocketLab) darkenRoom(room string, affected []Spec, length time.Duration, accepts bool) {
	s.mu.Lock()
	s.darkRoom, s.darkAt, s.lastDarkAttempt = room, time.Now(), map[*balancerProcess]time.Duration{}
	for _, spec := range affected {
		s.hosts[spec.ID].dark, s.hosts[spec.ID].acceptsWhileDark = true, accepts
	}
	s.mu.Unlock()
	if !s.sleep(length) {
		return
	}
	for _, spec := range affected {
		s.hosts[spec.ID].endDarkness()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.balancers {
		s.auditor.LastDarkAttempts = append(s.auditor.LastDarkAttempts, s.lastDarkAttempt[n])
	}
	s.darkRoom = ""
}

func (s *SocketLab) startAll(specs []Spec) {
	for _, spec := range specs {
		s.startHost(spec)
	}
}

// startHost starts a host, cold, at its previous address.
func (s *SocketLab) startHost(spec Spec) {
	h := s.hosts[spec.ID]
	if err := h.listen(); err != nil {
		return
	}
	s.mu.Lock()
	h.Start(s.now())
	s.mu.Unlock()
	s.updateHost(spec.ID, policy.Ready)
}
