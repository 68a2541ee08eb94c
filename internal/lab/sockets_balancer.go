package lab

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// balancerProcess is a balancer process with its addresses.
type balancerProcess struct {
	name, room               string
	listen, admin, discovery string
	cmd                      *exec.Cmd
	down                     bool
	frozen                   bool                 // stopped by SIGSTOP; the kernel still accepts connections, so clients keep connecting
	resumedAt                time.Time            // end of its last freeze; requests sent before it could not be answered in time
	drainNotices             map[string]time.Time // when discovery first listed a desk host as draining, by host
	exited                   chan error
	log                      *os.File
}

// startBalancers starts all balancers and waits until they are ready.
func (s *SocketLab) startBalancers() error {
	ports := reservedPorts{}
	defer ports.releaseAll()
	for i := range s.exp.Balancers {
		n, err := s.newBalancerProcess(i, ports)
		if err != nil {
			return err
		}
		s.balancers = append(s.balancers, n)
	}
	if err := checkDistinctAddresses(s.balancers); err != nil {
		return err
	}
	for _, n := range s.balancers {
		ports.release(n)
		if err := s.launch(n); err != nil {
			return err
		}
	}
	for _, n := range s.balancers {
		if err := s.waitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// newBalancerProcess reserves a balancer's ports and starts its discovery server.
func (s *SocketLab) newBalancerProcess(i int, ports reservedPorts) (n *balancerProcess, err error) {
	n = &balancerProcess{name: fmt.Sprintf("n%d", i), room: s.exp.balancerRoom(i), drainNotices: map[string]time.Time{}}
	if n.listen, err = ports.reserve(n); err != nil {
		return nil, err
	}
	if n.admin, err = ports.reserve(n); err != nil {
		return nil, err
	}
	return n, s.serveDiscovery(n)
}

// balancerSettings are the settings that the operators' documentation gives; the number of balancers and the room are
// filled in.
const balancerSettings = `{"allowed":{"tryLimit":6,"connectTimeout":150000000,"retryAfter":true,"probing":true},"discovery":"subscribe","tick":4000000,"siblings":%d,
"familyInfo":{"groups":true,"mode":"pass","messageAim":[250000000,50000000]},"locality":%q,
"grades":[{"name":"lookup","aim":300000000,"deadline":1200000000,"effect":"safe","dedupScope":"all"},
{"name":"seat-set","aim":300000000,"deadline":1200000000,"effect":"safe","dedupScope":"all"}],
"invariants":{"askWithin":10000000000,"coldFrom":0.15,"fall":1000000000,"overloadFactor":3,"stopSendingWithin":300000000,"warmAfter":22000000000}}`

// balancerConfig is the configuration of a balancer; its own values are filled in.
const balancerConfig = `{"name":%q,"listen":%q,"discovery":%q,"admin_addr":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":8192},"known":%s,"settings":%s}`

func (s *SocketLab) config(n *balancerProcess) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings := fmt.Sprintf(balancerSettings, s.exp.Balancers, n.room)
	return fmt.Appendf(nil, balancerConfig, n.name, n.listen, n.discovery, n.admin, s.rng.Uint32(), s.hostListJSON(-1), settings)
}

// launch starts a balancer process; its log is appended to that of an earlier process.
func (s *SocketLab) launch(n *balancerProcess) error {
	if s.plan != nil && s.exp.Operator == "" && s.exp.PlacementPlan == nil {
		return errors.New("an experiment on sockets takes its cells from an operator's file")
	}
	folder := filepath.Join(s.folder, n.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, s.config(n), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(s.binary)
	n.cmd.Env = s.environment(path, folder)
	n.cmd.Stdout, n.cmd.Stderr, n.log = log, log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan error, 1)
	go s.waitExit(n, n.cmd, log, n.exited)
	return nil
}

func (s *SocketLab) environment(config, folder string) []string {
	env := []string{"EDGE_CONFIG=" + config, "TMPDIR=" + folder}
	if s.exp.PlacementPlan != nil || s.exp.Record || s.plan != nil {
		env = append(env, "EDGE_OPERATOR="+filepath.Join(s.folder, operatorFile))
	}
	return env
}

// waitExit waits for the end of a balancer's process, and counts it as a crash if the lab did not stop it.
func (s *SocketLab) waitExit(n *balancerProcess, cmd *exec.Cmd, log io.Closer, exited chan<- error) {
	exited <- cmd.Wait()
	_ = log.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !n.down && s.ctx.Err() == nil {
		s.auditor.crashed++
	}
}

// waitReady waits until a balancer reports that it is healthy.
func (s *SocketLab) waitReady(n *balancerProcess) error {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + n.admin + "/admin/health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	return fmt.Errorf("%s: not ready within 10 s; its log is in %s", n.name, s.folder)
}

// Stats returns the figures at a balancer's admin address.
func (s *SocketLab) Stats(i int) (string, error) {
	resp, err := http.Get("http://" + s.balancers[i].admin + "/admin/stats")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// PrintCounters has all balancers print their counters to their logs.
func (s *SocketLab) PrintCounters() {
	for i, n := range s.balancers {
		_ = n.cmd.Process.Signal(syscall.SIGUSR1)
		_, _ = s.Stats(i) // the event loop answers this after it has printed the counters
	}
}

// Addresses are the addresses of a balancer for clients and for operators.
func (s *SocketLab) Addresses(i int) (clients, operators string) {
	return s.balancers[i].listen, s.balancers[i].admin
}

// restart stops a balancer as a planned restart does, by SIGTERM and later SIGKILL, and starts it again with no state.
func (s *SocketLab) restart(n *balancerProcess) {
	s.mu.Lock()
	n.down = true
	s.mu.Unlock()
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	if !s.sleep(3700 * time.Millisecond) {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
	if !s.sleep(300 * time.Millisecond) {
		return
	}
	if s.launch(n) == nil && s.waitReady(n) == nil {
		s.mu.Lock()
		n.down = false
		s.mu.Unlock()
	}
}
