package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deployment is a discovery and stand-in hosts for balancer processes, which all share one configuration, address and
// temporary folder.
type deployment struct {
	t         *testing.T
	discovery string
	listen    string
	folder    string
	config    string
	host      *standInHost
}

// limits of a balancer, as the platform sets them.
type limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// newDeployment starts discovery and one host, at which several host ids are listed.
func newDeployment(t *testing.T, limit limits, mode string, hosts int) *deployment {
	t.Helper()
	d := &deployment{t: t, host: newStandInHost(t), folder: t.TempDir()}
	var members []string
	for i := range hosts {
		members = append(members, fmt.Sprintf(`{"id":"s-%d","host_port":%q,"locality":"a","flavor":"m1","cell":%d,"phase":"in_service","size":1.0,"up_since_ms":0}`, i, d.host.address, i))
	}
	list := fmt.Sprintf(`{"revision":41,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("since") {
			_, _ = io.WriteString(w, list)
			return
		}
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		_, _ = io.WriteString(w, `{"revision":41,"complete":false,"members":[]}`)
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	d.discovery, d.listen = discovery.Listener.Addr().String(), freeAddress(t)
	d.config = filepath.Join(d.folder, "config.json")
	limitsJSON, err := json.Marshal(limit)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(d.config, fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"7","limits":%s,"known":%s,
		"settings":{"allowed":{"tryLimit":3,"connectTimeout":150000000,"mayCancel":true},"discovery":"subscribe","tick":4000000,"siblings":1,
		"locality":"a","familyInfo":{"mode":%q,"groups":true},
		"grades":[{"name":"lookup","aim":300000000,"deadline":1200000000,"effect":"unsafe","dedupScope":"all","repeatWindow":5000000000}],
		"invariants":{"askWithin":10000000000,"fall":1000000000,"overloadFactor":3,"coldFrom":0.15,"stopSendingWithin":300000000,"warmAfter":22000000000}}}`,
		d.listen, d.discovery, limitsJSON, list, mode), 0o600))
	return d
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// buildFolder has the program that buildOnce built; TestMain removes it.
var buildFolder string

// buildOnce builds the program as the deploy file does, and returns its path.
var buildOnce = sync.OnceValues(func() (path string, err error) {
	if buildFolder, err = os.MkdirTemp("", "tealtiller-test-"); err != nil {
		return "", err
	}
	path = filepath.Join(buildFolder, "tealtiller")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// balancerProcess is a process of the program as it is deployed, not of the test's binary, which needs more memory.
type balancerProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	ended  chan struct{}
	result error
}

// start starts a balancer process on one core and waits until it is ready. The platform gives a balancer part of a core,
// and garbage is collected later there.
func (d *deployment) start() *balancerProcess {
	d.t.Helper()
	binary, err := buildOnce()
	require.NoError(d.t, err)
	p := &balancerProcess{t: d.t, cmd: exec.Command("taskset", "-c", "0", binary), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+d.config, "TMPDIR="+d.folder, "EDGE_OPERATOR=")
	log, err := p.cmd.StderrPipe()
	require.NoError(d.t, err)
	require.NoError(d.t, p.cmd.Start())
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	lines := awaitReady(d.t, log)
	go func() {
		defer close(p.ended)
		for lines.Scan() {
			if os.Getenv("SHOW_LOG") != "" {
				fmt.Println(lines.Text())
			}
		}
		p.result = p.cmd.Wait()
	}()
	return p
}

func (p *balancerProcess) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// memory returns a figure of the process's memory in MiB: VmRSS or VmHWM.
func (p *balancerProcess) memory(figure string) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, figure+":"); ok {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(p.t, err)
			return float64(kib) / 1024
		}
	}
	p.t.Fatalf("no %s", figure)
	return 0
}

// testClient is a connection to the balancer.
type testClient struct {
	net.Conn
	lines *bufio.Reader
}

func (d *deployment) dial() *testClient {
	d.t.Helper()
	c, err := net.Dial("tcp", d.listen)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

// readLine returns the next line, or the error in brackets.
func (c *testClient) readLine(limit time.Duration) string {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	text, err := c.lines.ReadString('\n')
	if err != nil {
		return fmt.Sprintf("(%v)", err)
	}
	return strings.TrimRight(text, "\r\n")
}

func openLine(id string, key int) string {
	return fmt.Sprintf("OPEN %s %x c=lookup,d=1200\r\n", id, key)
}
