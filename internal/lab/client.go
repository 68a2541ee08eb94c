package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"tealtiller/internal/cells"
)

// client is one passenger's desk: it opens a connection, sends a line every so often (2 s, if not told), and comes again when it is refused,
// moved or cut off.
type client struct {
	arrival
	lab      *Sockets
	rng      *rand.Rand
	id       string
	conn     net.Conn
	node     *node
	returned bool
	mid      bool // goes on through another balancer
	tries    int
	moves    int // to follow its flight
	dropped  bool
	upAt     time.Time
	left     time.Duration
	host     string // where it stands
}

// drop has the client drop its connection and come again; the lab's lock is held.
func (c *client) drop() {
	c.dropped = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

const wait = 1200 * time.Millisecond // a client's patience

func (s *Sockets) client(a arrival) {
	defer s.clients.Done()
	s.mu.Lock()
	c := &client{arrival: a, lab: s, left: a.life, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 1))}
	s.live[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.live, c)
		s.mu.Unlock()
	}()
	for s.ctx.Err() == nil && c.left > 0 {
		again, after := c.try()
		if !again || !s.sleep(after) {
			return
		}
	}
}

// pick is the front's choice of a balancer; of one that is down only what stands is carried on.
func (c *client) pick() *node {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	for {
		n := c.lab.nodes[c.rng.IntN(len(c.lab.nodes))]
		room := c.lab.exp.room(&c.arrival)
		at := func(n *node) bool { return !n.down && n.room == room }
		if !n.down && (room == "" || n.room == room || !slices.ContainsFunc(c.lab.nodes, at)) {
			return n
		}
	}
}

// try opens one connection and stays on it to its end.
func (c *client) try() (again bool, after time.Duration) {
	s := c.lab
	if !c.mid {
		s.mu.Lock()
		s.audit.next++
		c.id = fmt.Sprintf("c%d", s.audit.next)
		s.mu.Unlock()
	}
	c.node = c.pick()
	conn, err := net.DialTimeout("tcp", c.node.listen, wait)
	if err != nil {
		return true, c.gap() // the front would not have chosen it
	}
	defer conn.Close()
	s.mu.Lock()
	c.conn, c.dropped = conn, false
	weight := max(s.weight[c.carrier], 1)
	s.mu.Unlock()
	extra := ""
	if c.returned {
		extra = ",again=1"
	}
	if c.mid {
		extra = ",mid=1"
	}
	text := fmt.Sprintf("OPEN %s %x c=%s,t=%s,d=%d,g=%x,h=%.3f%s\r\n", c.id, c.key, c.class, c.carrier, wait.Milliseconds(), c.group, c.load*weight, extra)
	began := time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		return true, c.gap()
	}
	if !c.mid {
		s.audit.opened(c)
	}
	mid := c.mid
	c.mid = false
	_ = conn.SetReadDeadline(began.Add(wait + 50*time.Millisecond))
	r := bufio.NewReader(conn)
	answer, err := r.ReadString('\n')
	took := time.Since(began)
	kind, rest, _ := strings.Cut(strings.TrimSpace(answer), " ")
	switch {
	case s.ctx.Err() != nil || c.wasDropped():
		return c.left > 0, c.gap()
	case err != nil && (c.nodeIsDown() || c.thawedSince(began)):
		s.mu.Lock()
		s.audit.Again++
		s.mu.Unlock()
		return true, c.gap() // a killed or frozen balancer's clients come again
	case err != nil:
		s.audit.final(c, "none", took, mid)
		return c.retry()
	}
	s.audit.final(c, kind, took, mid)
	if kind != "UP" {
		if second, err := r.ReadString('\n'); err == nil && second != "" {
			s.audit.second(s)
		}
		if ms, err := strconv.Atoi(rest); kind == "BUSY" && err == nil {
			again, _ := c.retry()
			return again, time.Duration(min(ms, 600)) * time.Millisecond
		}
		return c.retry()
	}
	return c.stand(conn, r)
}

func (c *client) retry() (bool, time.Duration) {
	c.tries++
	return c.tries <= 2, c.gap()
}

func (c *client) gap() time.Duration { return time.Duration(74+c.rng.IntN(1226)) * time.Millisecond }

func (c *client) wasDropped() bool {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.dropped
}

func (c *client) nodeIsDown() bool {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.node.down || c.node.frozen
}

// thawedSince tells whether the client's balancer woke from a freeze after a moment.
func (c *client) thawedSince(at time.Time) bool {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.node.thawed.After(at)
}

// stand sends a line every 2 s and waits for its answer, until its time is over or the other side ends.
func (c *client) stand(conn net.Conn, r *bufio.Reader) (again bool, after time.Duration) {
	s := c.lab
	c.upAt, c.tries = time.Now(), 0
	defer func() { c.left -= time.Since(c.upAt) }()
	s.audit.stands(c, true)
	defer s.audit.stands(c, false)
	end := c.upAt.Add(c.left)
	for n := 0; ; n++ {
		pause := span(s.exp.Pause)
		if n == 0 {
			pause = time.Duration(c.rng.Float64() * float64(pause))
		}
		_ = conn.SetReadDeadline(earlier(time.Now().Add(pause), end))
		text, err := r.ReadString('\n')
		if err == nil { // nothing was asked
			return c.told(text)
		}
		if !timedOut(err) {
			return c.broke()
		}
		if s.ctx.Err() != nil || !time.Now().Before(end) {
			return false, 0
		}
		asked := time.Now()
		if _, err := fmt.Fprintf(conn, "SEAT %d\r\n", n); err != nil {
			return c.broke()
		}
		_ = conn.SetReadDeadline(asked.Add(7 * time.Second))
		if text, err = r.ReadString('\n'); err != nil {
			return c.broke()
		}
		if !strings.HasPrefix(text, "OK ") {
			return c.told(text)
		}
		s.audit.line(c, time.Since(asked))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// told takes a line that was not asked for.
func (c *client) told(text string) (bool, time.Duration) {
	switch kind, _, _ := strings.Cut(strings.TrimSpace(text), " "); kind {
	case "MOVE":
		c.lab.audit.moved(c)
		c.returned = true
	case "UP", "BUSY", "ERR":
		c.lab.audit.second(c.lab)
		c.returned = true
	default:
		c.returned = true
	}
	return true, c.gap()
}

// broke takes that the connection has ended without a word.
func (c *client) broke() (bool, time.Duration) {
	if c.lab.ctx.Err() != nil {
		return false, 0
	}
	if c.wasDropped() {
		c.returned = true
		return true, c.gap()
	}
	if c.nodeIsDown() { // its packets now come through another balancer
		c.mid = true
		return true, time.Millisecond
	}
	c.returned = true
	c.lab.audit.cutOff(c)
	return true, c.gap()
}

// ---- The auditor ----

// audit counts what was seen from outside.
type audit struct {
	Outcome
	next     int
	crashed  int
	out      map[string]*int // the attempt that is out, by the client's id
	attempts map[string]int
	lastAt   map[string]string // the host of the last attempt
	broken   map[string]bool   // mid-flow, and reset by a host that did not hold it
	both     map[uint64]*joint
	held     map[uint64]map[string]int // connections of each flight, by host
	worst    time.Duration             // that a flight of a moving carrier stood in both cells
	lastMove time.Time
	atStart  int // of the moving carrier's connections, how many stood when the move began
}

// joint is a flight of a carrier that moves: how many connections stand in its two cells.
type joint struct {
	in    map[string]int
	since time.Time
}

func newAudit() *audit {
	return &audit{Outcome: Outcome{Cells: map[string]*Group{}, Carriers: map[string]*Group{}}, out: map[string]*int{},
		attempts: map[string]int{}, lastAt: map[string]string{}, broken: map[string]bool{}, both: map[uint64]*joint{}, held: map[uint64]map[string]int{}}
}

// attempt is called as its last byte has come, under the lab's lock.
func (a *audit) attempt(s *Sockets, h *standIn, id, carrier string, group uint64, mid bool) (attempt *int) {
	if earlier := a.out[id]; earlier != nil {
		go func() { // its end may be on the way: one connection's bytes do not wait for another's
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			if *earlier == 0 {
				a.TwoInFlight++
			}
		}()
	}
	attempt = new(int)
	a.out[id] = attempt
	a.attempts[id]++
	a.MostAttempts = max(a.MostAttempts, a.attempts[id])
	a.lastAt[id] = h.ID
	if s.plan != nil && !mid && !belongs(s.plan, s.now(), carrier, group, s.cellOf[h.ID]) {
		a.Foreign++
	}
	if from := s.sender(id); from != nil && !mid {
		switch {
		case s.darkRoom == "":
			a.Sent++
			a.Near += b2i(h.Room == from.room)
		case h.Room == s.darkRoom:
			s.lastDark[from] = time.Since(s.darkAt)
		}
	}
	for _, n := range s.nodes {
		if told := n.told[h.ID]; !told.IsZero() && time.Since(told) > 350*time.Millisecond && !mid && s.fromNode(n, id) {
			a.LateDrains++
		}
	}
	return attempt
}

// sender is the balancer that a client came through.
func (s *Sockets) sender(id string) *node {
	for c := range s.live {
		if c.id == id {
			return c.node
		}
	}
	return nil
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *Sockets) fromNode(n *node, id string) bool {
	for c := range s.live {
		if c.id == id {
			return c.node == n
		}
	}
	return false
}

// belongs tells whether a flight may be sent to a cell now: its own by the plan, give or take the difference of the
// clocks and the time on the way, or one that its own overflows to.
func belongs(p *cells.Plan, now time.Duration, carrier string, group uint64, cell string) bool {
	for _, skew := range []time.Duration{0, -1500 * time.Millisecond, 250 * time.Millisecond} {
		home := p.Home(now+skew, carrier, group)
		if home == cell {
			return true
		}
		for _, c := range p.Cells {
			if c.Name == home && c.OverflowTo == cell {
				return true
			}
		}
	}
	return false
}

// attemptEnds notes that an attempt was answered, or that the balancer has closed its connection.
func (a *audit) attemptEnds(id string, attempt *int) {
	if *attempt = 1; a.out[id] == attempt {
		delete(a.out, id)
	}
}

func (a *audit) groups(c *client) []*Group {
	cell := "all"
	if p := c.lab.exp.Plan; p != nil {
		cell = p.Home(0, c.carrier, c.group)
	}
	if a.Cells[cell] == nil {
		a.Cells[cell] = newGroup()
	}
	if a.Carriers[c.carrier] == nil {
		a.Carriers[c.carrier] = newGroup()
	}
	return []*Group{a.Cells[cell], a.Carriers[c.carrier]}
}

func (a *audit) opened(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	a.Opens++
	if !c.extra {
		for _, g := range a.groups(c) {
			g.Opens++
		}
	}
}

// settled tells that times are counted by now.
func (a *audit) settled(c *client) bool {
	return time.Since(c.lab.began) > span(c.lab.exp.Settle)
}

func (a *audit) final(c *client, kind string, took time.Duration, mid bool) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	defer func() { delete(a.attempts, c.id) }()
	groups := a.groups(c)
	if c.extra {
		groups = nil
	}
	switch kind {
	case "UP":
		a.Served++
		for _, g := range groups {
			g.Served++
			if a.settled(c) && !mid {
				_ = g.setups.RecordValue(max(took.Microseconds(), 1))
			}
		}
	case "BUSY":
		a.Refused++
		for _, g := range groups {
			g.Refused++
		}
	case "none":
		a.Lost++
	default:
		a.Failed++
		for _, g := range groups {
			g.Failed++
		}
	}
}

func (a *audit) second(s *Sockets) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Doubled++
}

func (a *audit) line(c *client, took time.Duration) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	if aim := map[string]time.Duration{"lookup": 250 * time.Millisecond, "seat-set": messageAim}[c.class]; a.settled(c) {
		a.Worth.Asked += worthOf(c.class)
		if took <= aim {
			a.Worth.Well += worthOf(c.class)
		}
	}
	if !c.extra && a.settled(c) {
		for _, g := range a.groups(c) {
			_ = g.lines.RecordValue(max(took.Microseconds(), 1))
		}
	}
}

func (a *audit) moved(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	a.Moves++
	p := c.lab.plan
	if p == nil || p.Home(c.lab.now(), c.carrier, c.group) == c.lab.cellOf[a.lastAt[c.id]] {
		return // the module's own reasons
	}
	a.Followed++
	if c.moves++; c.moves == 2 {
		a.MovedTwice++
	}
	a.lastMove = time.Now()
}

// cutOff counts a connection that ended without MOVE while its desk host still held it.
func (a *audit) cutOff(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	if h := c.lab.hosts[a.lastAt[c.id]]; h != nil && h.Up && h.held[c.id] != nil {
		a.Cut++
	}
}

// stands follows in which cells a moving carrier's flights have connections.
func (a *audit) stands(c *client, begins bool) {
	s := c.lab
	s.mu.Lock()
	defer s.mu.Unlock()
	host := a.lastAt[c.id]
	if held := a.held[c.group]; begins {
		a.Worth.Placed++
		if s.exp.Skew > 0 && s.hosts[host].Room != s.exp.room(&c.arrival) {
			a.Worth.Crossed++
		}
		if held == nil {
			held = map[string]int{}
			a.held[c.group] = held
		}
		held[host]++
		if a.settled(c) {
			a.Worth.Joined++
			a.Worth.HeldBy += len(held)
		}
		c.host = host
	} else if held[c.host]--; held[c.host] == 0 {
		delete(held, c.host)
	}
	if s.plan == nil {
		return
	}
	for _, m := range s.plan.Moves {
		if m.Carrier != c.carrier {
			continue
		}
		j := a.both[c.group]
		if j == nil {
			j = &joint{in: map[string]int{}}
			a.both[c.group] = j
		}
		cell := s.cellOf[a.lastAt[c.id]]
		if begins {
			j.in[cell]++
		} else {
			j.in[cell]--
		}
		both := j.in[m.From] > 0 && j.in[m.To] > 0
		if both && j.since.IsZero() {
			j.since = time.Now()
		} else if !both && !j.since.IsZero() {
			a.worst = max(a.worst, time.Since(j.since))
			j.since = time.Time{}
		}
	}
}

// Joint is for how long a flight of the moving carrier stood in both cells, at the most; how many of its connections
// stood as the move began; left, how many of its
// connections still stood in the old cell at the end, and there in the new one; last, how long after the start the last client was moved.
func (s *Sockets) Joint() (worst time.Duration, atStart, left, there int, last time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.plan.Moves[0]
	return s.audit.worst, s.audit.atStart, s.audit.both[0].in[m.From], s.audit.both[0].in[m.To], time.Duration(s.audit.lastMove.UnixNano()) - m.Start
}

// moveBegins counts what stands of a moving carrier.
func (a *audit) moveBegins(s *Sockets) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range a.both {
		for _, n := range j.in {
			a.atStart += n
		}
	}
}

// closing notes what stands before the clients leave.
func (a *audit) closing(s *Sockets) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil || len(s.plan.Moves) == 0 {
		return
	}
	total := &joint{in: map[string]int{}}
	for _, j := range a.both {
		if !j.since.IsZero() {
			a.worst = max(a.worst, time.Since(j.since))
		}
		for cell, n := range j.in {
			total.in[cell] += n
		}
	}
	a.both = map[uint64]*joint{0: total}
}

func (a *audit) outcome(s *Sockets) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Crashed = a.crashed
	for _, h := range s.hosts {
		if h.Fallen {
			a.Fallen++
		}
	}
	return a.Outcome
}
