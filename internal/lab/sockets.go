package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tealtiller/internal/cells"
	"tealtiller/internal/placement"
	"tealtiller/policy"
)

// Sockets plays an experiment on loopback sockets, against real balancer processes: it takes the place of the desk
// hosts, of discovery, of the front and of the clients. One lock guards all that it knows; it only watches.
type Sockets struct {
	exp     *Experiment
	plan    *cells.Plan // that the auditor holds the balancers to; nil without cells
	binary  string
	folder  string
	began   time.Time
	mu      sync.Mutex
	rng     *rand.Rand
	hosts   map[string]*standIn
	specs   []Spec
	cellOf  map[string]string
	nodes   []*node
	audit   *audit
	stop    context.CancelFunc
	ctx     context.Context
	clients sync.WaitGroup
	reach   bool // discovery answers
	rev     int64
	changes []change
	news    chan struct{} // closed at each change
	weight  map[string]float64
	live    map[*client]bool
	// what the balancers recorded, where the experiment has them do so
	fleet    *placement.Fleet
	fleetErr error
	// a room that is dark, since when, and the last new attempt that each balancer sent into it
	darkRoom string
	darkAt   time.Time
	lastDark map[*node]time.Duration
}

type change struct {
	rev   int64
	state policy.State
	id    string
}

// node is one balancer process and the addresses that are its own.
type node struct {
	name, room               string
	listen, admin, discovery string
	cmd                      *exec.Cmd
	down                     bool
	frozen                   bool                 // stopped: the kernel still takes connections, so clients keep coming
	thawed                   time.Time            // its last wake: what was sent before it, it could not answer in time
	told                     map[string]time.Time // drains, by desk host
	done                     chan error
	log                      *os.File
}

// Outcome is what the auditor and the clients saw.
type Outcome struct {
	Opens, Served, Refused, Failed int
	Lost                           int // without a final answer in time
	Doubled                        int // with a second one
	TwoInFlight                    int
	MostAttempts                   int
	Foreign                        int // attempts written to a host outside the client's cell
	LateDrains                     int // attempts later than 350 ms after the drain was told
	Fallen                         int // cold hosts pushed over
	Cut                            int // connections cut off without MOVE while their desk host still answered
	Moves                          int
	Followed                       int             // of them told to clients that stood in a cell that their flight had left
	MovedTwice                     int             // clients to which that happened more than once
	Crashed                        int             // balancers that ended by themselves
	Unheard                        int             // set-ups taken by a host cut one way, whose UP was lost
	Again                          int             // OPENs unanswered by a balancer that was down or frozen, whose clients came again
	Near, Sent                     int             // new attempts to a host in the balancer's own room, and all, while no room was dark
	Quiet                          []time.Duration // by balancer: its last new attempt into a dark room, after it went dark
	Worth                          Worth           // seconds are lines here
	Cells                          map[string]*Group
	Carriers                       map[string]*Group
}

// Group is the figures of a cell's or carrier's usual clients.
type Group struct {
	Opens, Served, Refused, Failed int
	setups, lines                  *hdrhistogram.Histogram
}

func newGroup() *Group {
	return &Group{setups: hdrhistogram.New(1, 60_000_000, 3), lines: hdrhistogram.New(1, 60_000_000, 3)}
}

// MarshalJSON tells the percentiles in milliseconds.
func (g *Group) MarshalJSON() ([]byte, error) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return math.Round(float64(h.ValueAtQuantile(q))/10) / 100
	}
	return json.Marshal(map[string]any{"opens": g.Opens, "served": g.Served, "refused": g.Refused, "failed": g.Failed,
		"setup_p50_ms": ms(g.setups, 50), "setup_p99_ms": ms(g.setups, 99), "line_p50_ms": ms(g.lines, 50),
		"line_p99_ms": ms(g.lines, 99), "lines": g.lines.TotalCount()})
}

// Setup and Line are percentiles.
func (g *Group) Setup(q float64) time.Duration {
	return time.Duration(g.setups.ValueAtQuantile(q)) * time.Microsecond
}

// Line is how long lines took.
func (g *Group) Line(q float64) time.Duration {
	return time.Duration(g.lines.ValueAtQuantile(q)) * time.Microsecond
}

// NewSockets makes a world; without cells the balancers get no operator's file.
func NewSockets(exp *Experiment, seed uint64, withCells bool, binary, folder string) (*Sockets, error) {
	s := &Sockets{exp: exp, binary: binary, folder: folder, rng: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]*standIn{},
		specs: exp.Fleet(seed), reach: true, rev: 1, news: make(chan struct{}), weight: map[string]float64{}, live: map[*client]bool{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.audit = newAudit()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	s.began = time.Now()
	var list []policy.Server
	for _, spec := range s.specs {
		h := &standIn{lab: s, Machine: NewMachine(spec, time.Duration(370+s.rng.IntN(930))*time.Millisecond), held: map[string]*desk{}, conns: map[net.Conn]bool{}}
		h.state = policy.Ready
		s.hosts[spec.ID] = h
		if err := h.listen(); err != nil {
			return nil, err
		}
		list = append(list, policy.Server{ID: spec.ID, Zone: spec.Room, Kind: spec.Kind, Cell: spec.Number})
	}
	if exp.Operator != "" { // anew: its moments count from here
		text, plan, err := exp.operatorFile()
		if err != nil {
			return nil, err
		}
		exp.Plan = plan
		if err := os.WriteFile(filepath.Join(folder, "operator.hcl"), text, 0o600); err != nil {
			return nil, err
		}
	}
	if exp.Placed != nil || exp.Record {
		if err := s.placementFile(); err != nil {
			return nil, err
		}
	}
	if exp.Plan != nil {
		s.cellOf = exp.Plan.Deal(list)
		if withCells {
			s.plan = exp.Plan
		}
	}
	// Danger: a port let go at once may be handed out again to the next balancer; two of them on one port (seen: one's
	// listener on another's admin port, its clients never answered) would be counted as lost OPENs. All are held until
	// every balancer has its own, and each is let go just before its balancer binds it.
	held := make([][]net.Listener, exp.Balancers)
	defer func() {
		for _, ls := range held {
			for _, l := range ls {
				_ = l.Close()
			}
		}
	}()
	for i := range exp.Balancers {
		n := &node{name: fmt.Sprintf("n%d", i), room: exp.balancerRoom(i), told: map[string]time.Time{}}
		for _, address := range []*string{&n.listen, &n.admin} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			*address, held[i] = l.Addr().String(), append(held[i], l)
		}
		if err := s.discovery(n); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	seen := map[string]bool{}
	for _, n := range s.nodes {
		for _, address := range []string{n.listen, n.admin, n.discovery} {
			if seen[address] {
				return nil, fmt.Errorf("%s: one port for two ends", address)
			}
			seen[address] = true
		}
	}
	for i, n := range s.nodes {
		for _, l := range held[i] {
			_ = l.Close()
		}
		held[i] = nil
		if err := s.launch(n); err != nil {
			return nil, err
		}
	}
	for _, n := range s.nodes {
		if err := s.ready(n); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// placementFile has the balancers told of the plan and of where their records go.
func (s *Sockets) placementFile() error {
	text := ""
	if s.exp.Plan != nil && s.exp.Operator == "" {
		text = roomCells
	}
	text += "placement {\n"
	if s.exp.Placed != nil {
		plan, err := json.Marshal(s.exp.Placed)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(s.folder, "plan.json"), plan, 0o600); err != nil {
			return err
		}
		text += "  plan = \"plan.json\"\n"
	}
	if s.exp.Record {
		text += "  record = \"record-{name}.jsonl\"\n  record_every = \"1s\"\n"
	}
	return os.WriteFile(filepath.Join(s.folder, "operator.hcl"), []byte(text+"}\n"), 0o600)
}

// Gather makes a fleet of what the balancers recorded.
func (s *Sockets) Gather() (*placement.Fleet, error) {
	g := placement.NewGatherer(placement.UsualClasses(), placement.Usual().Piece, time.Second)
	for _, n := range s.nodes {
		f, err := os.Open(filepath.Join(s.folder, "record-"+n.name+".jsonl"))
		if err != nil {
			return nil, err
		}
		err = g.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
	}
	return g.Fleet(placement.Usual())
}

func (s *Sockets) now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// ---- Balancer processes ----

func (s *Sockets) launch(n *node) error {
	folder := filepath.Join(s.folder, n.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	set := `{"allowed":{"tryLimit":6,"connectTimeout":150000000,"retryAfter":true,"probing":true},"discovery":"subscribe","tick":4000000,"siblings":%d,
"familyInfo":{"groups":true,"mode":"pass","messageAim":[250000000,50000000]},"locality":%q,
"grades":[{"name":"lookup","aim":300000000,"deadline":1200000000,"effect":"safe","dedupScope":"all"},
{"name":"seat-set","aim":300000000,"deadline":1200000000,"effect":"safe","dedupScope":"all"}],
"invariants":{"askWithin":10000000000,"coldFrom":0.15,"fall":1000000000,"overloadFactor":3,"stopSendingWithin":300000000,"warmAfter":22000000000}}`
	s.mu.Lock()
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"admin_addr":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":8192},"known":%s,"settings":%s}`,
		n.name, n.listen, n.discovery, n.admin, s.rng.Uint32(), s.list(-1), fmt.Sprintf(set, s.exp.Balancers, n.room))
	s.mu.Unlock()
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return err
	}
	n.cmd = exec.Command(s.binary)
	n.cmd.Env = []string{"EDGE_CONFIG=" + path, "TMPDIR=" + folder}
	if s.exp.Placed != nil || s.exp.Record {
		n.cmd.Env = append(n.cmd.Env, "EDGE_OPERATOR="+filepath.Join(s.folder, "operator.hcl"))
	}
	if s.plan != nil {
		n.cmd.Env = append(n.cmd.Env, "EDGE_OPERATOR="+filepath.Join(s.folder, "operator.hcl"))
		if s.exp.Operator == "" && s.exp.Placed == nil {
			return errors.New("an experiment on sockets takes its cells from an operator's file")
		}
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd.Stdout, n.cmd.Stderr, n.log = log, log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) {
		done <- cmd.Wait()
		_ = log.Close()
		s.mu.Lock()
		if !n.down && s.ctx.Err() == nil {
			s.audit.crashed++
		}
		s.mu.Unlock()
	}(n.cmd, n.done)
	return nil
}

// ready waits until a balancer says yes.
func (s *Sockets) ready(n *node) error {
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

// Stats are the figures of a balancer's second address.
func (s *Sockets) Stats(i int) (string, error) {
	resp, err := http.Get("http://" + s.nodes[i].admin + "/admin/stats")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Report has all balancers print their counters to their logs.
func (s *Sockets) Report() {
	for i, n := range s.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGUSR1)
		_, _ = s.Stats(i) // answered after the print, as both are done on the loop in turn
	}
}

// Addresses are where clients and operators reach a balancer.
func (s *Sockets) Addresses(i int) (clients, operators string) {
	return s.nodes[i].listen, s.nodes[i].admin
}

// restart stops a balancer as planned restarts do, and starts it from nothing.
func (s *Sockets) restart(n *node) {
	s.mu.Lock()
	n.down = true
	s.mu.Unlock()
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	if !s.sleep(3700 * time.Millisecond) {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.done
	if !s.sleep(300 * time.Millisecond) {
		return
	}
	if s.launch(n) == nil && s.ready(n) == nil {
		s.mu.Lock()
		n.down = false
		s.mu.Unlock()
	}
}

// sleep waits; false if the experiment has ended meanwhile.
func (s *Sockets) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// Close ends the balancers and the stand-ins.
func (s *Sockets) Close() {
	s.stop()
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	s.clients.Wait()
	for _, h := range s.hosts {
		h.end()
	}
}

// ---- Discovery ----

var phases = map[policy.State]string{policy.Ready: "in_service", policy.Draining: "terminating", policy.Gone: "terminated"}

// list is the pool config since a revision, -1 for the whole.
func (s *Sockets) list(since int64) string {
	changed := map[string]bool{}
	for _, c := range s.changes {
		if c.rev > since {
			changed[c.id] = true
		}
	}
	var members []string
	for _, spec := range s.specs {
		h := s.hosts[spec.ID]
		if since >= 0 && !changed[spec.ID] || since < 0 && h.state == policy.Gone {
			continue
		}
		started := h.Started.Milliseconds()
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":%.3f,"up_since_ms":%d}`,
			spec.ID, h.address, spec.Room, spec.Kind, spec.Number, phases[h.state], s.exp.size(spec), started))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, s.rev, since < 0, strings.Join(members, ","))
}

// tell changes what discovery knows of a host.
func (s *Sockets) tell(id string, state policy.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.hosts[id].state = state
	s.changes = append(s.changes, change{s.rev, state, id})
	close(s.news)
	s.news = make(chan struct{})
}

// discovery serves one balancer at an address of its own, so that it is known what that one was told and when.
func (s *Sockets) discovery(n *node) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.discovery = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.answer(n, w, r) })}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-s.ctx.Done()
		_ = server.Close()
	}()
	return nil
}

func (s *Sockets) answer(n *node, w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	limit := time.After(time.Duration(min(ms, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		reach, rev, news := s.reach, s.rev, s.news
		s.mu.Unlock()
		if !reach {
			http.Error(w, "out of reach", http.StatusServiceUnavailable)
			return
		}
		if since < 0 || rev > since {
			break
		}
		select {
		case <-news:
			continue
		case <-limit:
		case <-s.ctx.Done():
			return
		}
		break
	}
	s.mu.Lock()
	body := s.list(since)
	for _, c := range s.changes {
		if c.rev > since && c.state != policy.Ready && n.told[c.id].IsZero() {
			n.told[c.id] = time.Now()
		}
		if c.rev > since && c.state == policy.Ready {
			delete(n.told, c.id)
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// ---- Desk hosts ----

// standIn is a desk host on sockets round the model.
type standIn struct {
	*Machine
	lab     *Sockets
	address string
	state   policy.State // as discovery tells it
	l       net.Listener
	held    map[string]*desk // what stands, by the client's id
	conns   map[net.Conn]bool
	dark    bool // gone without a word: what comes is read and never answered
	takes   bool // with dark, a link cut one way: what comes is taken and set up, its answers are lost
}

// desk is a connection that stands. Its packets may stop coming and go on through another balancer.
type desk struct {
	load  float64
	group uint64
	conn  net.Conn
}

func (h *standIn) listen() error {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.lab.mu.Lock()
	h.l, h.address = l, l.Addr().String()
	h.lab.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

// end stops the process: connections are reset.
func (h *standIn) end() {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	_ = h.l.Close()
	for c := range h.conns {
		reset(c)
	}
	h.held = map[string]*desk{}
	h.Stop(h.lab.now())
}

func (h *standIn) silent() bool {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	return h.dark
}

// light ends a darkness: what was held open is reset, and the host starts cold.
func (h *standIn) light() {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	h.dark, h.takes = false, false
	for c := range h.conns {
		reset(c)
	}
	h.held = map[string]*desk{}
	h.Stop(h.lab.now())
	h.Start(h.lab.now())
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
		_ = t.Close()
	}
}

// parked is how long a connection outlives the balancer that its packets came through.
const parked = 6 * time.Second

func (h *standIn) serve(c *net.TCPConn) {
	s, r := h.lab, bufio.NewReader(c)
	s.mu.Lock()
	h.conns[c] = true
	s.mu.Unlock()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(h.conns, c)
		s.mu.Unlock()
	}()
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if h.silent() && !strings.HasPrefix(text, "OPEN") {
			_, _ = io.Copy(io.Discard, r) // until the balancer gives up, or the light comes back
			return
		}
		switch word, _, _ := strings.Cut(strings.TrimSpace(text), " "); word {
		case "PING":
			_, err = io.WriteString(c, "PONG\r\n")
		case "STATS":
			s.mu.Lock()
			rep := h.Report(s.now())
			s.mu.Unlock()
			_, err = fmt.Fprintf(c, "PONG eps=%.2f,util=%.3f,x0=%.3f\r\n", rep.ErrorsPerSecond, rep.Util, rep.X0)
		case "OPEN":
			h.open(c, r, text)
			return
		default:
			_, err = io.WriteString(c, "SYNTAX\r\n")
		}
		if err != nil {
			return
		}
	}
}

// open takes one attempt from its line to its end.
func (h *standIn) open(c *net.TCPConn, r *bufio.Reader, text string) {
	s := h.lab
	words := strings.Fields(text)
	if len(words) != 4 {
		_, _ = io.WriteString(c, "SYNTAX\r\n")
		return
	}
	id, fields := words[1], map[string]string{}
	for _, f := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(f, "=")
		fields[name] = value
	}
	group, _ := strconv.ParseUint(fields["g"], 16, 64)
	load, _ := strconv.ParseFloat(fields["h"], 64)
	s.mu.Lock()
	now := s.now()
	attempt := s.audit.attempt(s, h, id, fields["t"], group, fields["mid"] == "1")
	if h.dark && !h.takes {
		s.mu.Unlock()
		_, _ = io.Copy(io.Discard, r)
		s.mu.Lock()
		s.audit.attemptEnds(id, attempt)
		s.mu.Unlock()
		return
	}
	if d := h.held[id]; fields["mid"] == "1" && (d != nil || !s.audit.broken[id]) {
		if d == nil { // not held here; after this it is set up anew, wherever it is sent
			s.audit.broken[id] = true
			s.audit.attemptEnds(id, attempt)
			s.mu.Unlock()
			reset(c)
			return
		}
		d.conn = c
		s.audit.attemptEnds(id, attempt)
		s.mu.Unlock()
		_, _ = io.WriteString(c, "UP resumed\r\n")
		h.stand(c, r, id, d)
		return
	}
	wait := h.Setup(now)
	s.mu.Unlock()
	// The work of setting up takes its time, by the model; a balancer that closes meanwhile has given up.
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	s.mu.Lock()
	if err != nil && !timedOut(err) {
		s.audit.attemptEnds(id, attempt)
		s.mu.Unlock()
		return
	}
	answer := h.Open(s.now(), load, group, s.rng.Float64())
	s.audit.attemptEnds(id, attempt)
	if answer != Taken {
		lost := h.dark
		s.mu.Unlock()
		if lost {
			_, _ = io.Copy(io.Discard, r)
			return
		}
		_, _ = io.WriteString(c, map[Answer]string{Full: "BUSY\r\n", Fails: "ERR\r\n"}[answer])
		return
	}
	d := &desk{load: load, group: group, conn: c}
	h.held[id] = d
	unheard := h.dark
	s.audit.Unheard += b2i(unheard)
	s.mu.Unlock()
	if unheard { // the answer is lost on its way; what was set up stands until the balancer lets go
		_, _ = io.Copy(io.Discard, r)
		h.close(id, d, c)
		return
	}
	if _, err := io.WriteString(c, "UP "+id+"\r\n"); err != nil {
		h.close(id, d, c)
		return
	}
	h.stand(c, r, id, d)
}

// stand answers lines until the client ends, or its packets go elsewhere.
func (h *standIn) stand(c *net.TCPConn, r *bufio.Reader, id string, d *desk) {
	s := h.lab
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && !s.parks(id) {
				_, _ = io.WriteString(c, "BYE\r\n")
				h.close(id, d, c)
				return
			}
			go func() { // the balancer died; the client may come through another one
				s.sleep(parked)
				h.close(id, d, c)
			}()
			return
		}
		if h.silent() {
			_, _ = io.Copy(io.Discard, r)
			h.close(id, d, c)
			return
		}
		s.mu.Lock()
		h.Advance(s.now())
		wait := h.Message(s.now())
		s.mu.Unlock()
		time.Sleep(wait)
		if _, err := io.WriteString(c, "OK "+text); err != nil {
			h.close(id, d, c)
			return
		}
	}
}

// parks tells whether a client's packets came through a balancer that is being restarted.
func (s *Sockets) parks(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.live {
		if c.id == id {
			return c.node.down
		}
	}
	return false
}

// close ends what stands, unless it goes on through another connection.
func (h *standIn) close(id string, d *desk, c net.Conn) {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	if h.held[id] == d && d.conn == c {
		delete(h.held, id)
		h.Close(h.lab.now(), d.load, d.group)
	}
}

// ---- Faults ----

func (s *Sockets) fault(f Fault) {
	s.mu.Lock()
	hit, until := f.hit(s.rng, s.specs, s.cellOf), span(f.For)
	s.mu.Unlock()
	switch f.Kind {
	case "crash":
		for _, spec := range hit {
			s.hosts[spec.ID].end()
		}
		s.sleep(time.Second)
		for _, spec := range hit {
			s.tell(spec.ID, policy.Gone)
		}
		if s.sleep(until - time.Second) {
			for _, spec := range hit {
				s.back(spec)
			}
		}
	case "drain": // and leave; they are back, cold, after a second where a size is told
		for _, spec := range hit {
			s.tell(spec.ID, policy.Draining)
		}
		if !s.sleep(until) {
			return
		}
		for _, spec := range hit {
			s.hosts[spec.ID].end()
			s.tell(spec.ID, policy.Gone)
		}
		if f.Size > 0 && s.sleep(time.Second) {
			for _, spec := range hit {
				s.back(spec)
			}
		}
	case "deploy": // in five batches; each host drains for 4 s, leaves, and is back, cold, a second later
		batch := max(len(hit)/5, 1)
		for len(hit) > 0 {
			now := hit[:min(batch, len(hit))]
			hit = hit[len(now):]
			s.clients.Add(1)
			go func() {
				defer s.clients.Done()
				s.replace(now)
			}()
			if !s.sleep(until / 5) {
				return
			}
		}
	case "errors", "heavy":
		size := map[bool]float64{true: f.Size}
		for _, on := range []bool{true, false} {
			s.mu.Lock()
			for _, spec := range hit {
				if f.Kind == "errors" {
					s.hosts[spec.ID].ErrorRate = size[on]
				}
			}
			if f.Kind == "heavy" {
				s.weight[f.Carrier] = size[on]
			}
			s.mu.Unlock()
			if on && !s.sleep(until) {
				return
			}
		}
	case "discovery":
		for _, reach := range []bool{false, true} {
			s.mu.Lock()
			s.reach = reach
			close(s.news)
			s.news = make(chan struct{})
			s.mu.Unlock()
			if !reach && !s.sleep(until) {
				return
			}
		}
	case "drop":
		s.mu.Lock()
		for c := range s.live {
			if (f.Carrier == "" || c.carrier == f.Carrier) && s.rng.Float64() < f.Part {
				c.drop()
			}
		}
		s.mu.Unlock()
	case "restart":
		s.restart(s.nodes[len(s.nodes)-1])
	case "freeze": // part of the balancers stop (SIGSTOP) and go on (SIGCONT) with what they believed
		frozen := s.nodes[:int(math.Ceil(f.Part*float64(len(s.nodes))-1e-9))]
		for _, n := range frozen {
			s.mu.Lock()
			n.frozen = true
			s.mu.Unlock()
			_ = n.cmd.Process.Signal(syscall.SIGSTOP)
		}
		s.sleep(until)
		for _, n := range frozen {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			s.mu.Lock()
			n.frozen, n.thawed = false, time.Now()
			s.mu.Unlock()
		}
	case "dark", "one-way":
		s.mu.Lock()
		s.darkRoom, s.darkAt, s.lastDark = f.Room, time.Now(), map[*node]time.Duration{}
		for _, spec := range hit {
			s.hosts[spec.ID].dark, s.hosts[spec.ID].takes = true, f.Kind == "one-way"
		}
		s.mu.Unlock()
		if !s.sleep(until) {
			return
		}
		for _, spec := range hit {
			s.hosts[spec.ID].light()
		}
		s.mu.Lock()
		for _, n := range s.nodes {
			s.audit.Quiet = append(s.audit.Quiet, s.lastDark[n])
		}
		s.darkRoom = ""
		s.mu.Unlock()
	}
}

// replace drains hosts, ends them and brings them back.
func (s *Sockets) replace(specs []Spec) {
	for _, spec := range specs {
		s.tell(spec.ID, policy.Draining)
	}
	if !s.sleep(4 * time.Second) {
		return
	}
	for _, spec := range specs {
		s.hosts[spec.ID].end()
		s.tell(spec.ID, policy.Gone)
	}
	if s.sleep(time.Second) {
		for _, spec := range specs {
			s.back(spec)
		}
	}
}

func (s *Sockets) back(spec Spec) {
	h := s.hosts[spec.ID]
	if err := h.listen(); err != nil {
		return
	}
	s.mu.Lock()
	h.Start(s.now())
	s.mu.Unlock()
	s.tell(spec.ID, policy.Ready)
}

// Run plays the experiment and tells what was seen.
func (s *Sockets) Run() Outcome {
	s.began = time.Now()
	end := s.began.Add(span(s.exp.Duration))
	for i := range s.exp.carriers() {
		s.mu.Lock()
		seed := s.rng.Uint64()
		s.mu.Unlock()
		all := s.exp.arrivals(seed, i)
		slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
		s.clients.Add(1)
		go func() {
			defer s.clients.Done()
			for _, a := range all {
				if !s.sleep(time.Until(s.began.Add(a.at))) {
					return
				}
				s.clients.Add(1)
				go s.client(a)
			}
		}()
	}
	for _, f := range s.exp.Faults {
		if f.Kind != "hot-key" {
			s.clients.Add(1)
			go func() {
				defer s.clients.Done()
				if s.sleep(time.Until(s.began.Add(span(f.At)))) {
					s.fault(f)
				}
			}()
		}
	}
	if s.plan.Len() > 0 && len(s.plan.Moves) > 0 {
		go func() {
			if s.sleep(time.Until(time.Unix(0, int64(s.plan.Moves[0].Start)))) {
				s.audit.moveBegins(s)
			}
		}()
	}
	s.sleep(time.Until(end))
	s.audit.closing(s)
	s.stop()
	s.clients.Wait()
	return s.audit.outcome(s)
}
