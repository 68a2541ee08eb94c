package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Count is what a fleet's logs tell when all balancers are taken together, by second from the first line. What each does
// may look right by itself; only the sum shows what all of them do to a desk host or to discovery.
type Count struct {
	Balancers int              `json:"balancers"`
	Lines     int              `json:"lines"`
	Unread    int              `json:"unread"` // lines that are no log line, a crash's for instance
	Seconds   int              `json:"seconds"`
	Events    map[string][]int `json:"events"`

	// By desk host: questions, route steps written, those to a cold one, connections that stand at the second's end,
	// those that it dropped, and the load that its reports told, in hundredths of what it can do (-1: none came).
	Hosts map[string]map[string][]int `json:"hosts"`

	Knew       map[int64]Spread  `json:"knew"`        // a revision of the list: from the first balancer to the last
	PassedOver map[string]Spread `json:"passed_over"` // the same of a desk host's first doubt
}

// Spread is when the first and the last of some balancers came to know a thing.
type Spread struct {
	First     float64 `json:"first"`
	Last      float64 `json:"last"`
	Balancers int     `json:"balancers"`
}

// figures of desk hosts, in the order in which they are printed.
var figures = []string{"questions", "steps", "cold steps", "standing", "dropped", "load"}

type logLine struct {
	at     time.Time
	who    string
	fields map[string]string
}

var pair = regexp.MustCompile(`([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// readLine reads a line of the log, as text or JSON; whatever the collector put before it is passed over.
func readLine(text string) (l logLine, ok bool) {
	l.fields = map[string]string{}
	if i := strings.IndexByte(text, '{'); i >= 0 && strings.HasSuffix(text, "}") {
		var raw map[string]any
		if json.Unmarshal([]byte(text[i:]), &raw) == nil {
			for k, v := range raw {
				l.fields[k] = fmt.Sprint(v)
			}
		}
	} else if i := strings.Index(text, "time="); i >= 0 {
		for _, m := range pair.FindAllStringSubmatch(text[i:], -1) {
			if value, err := strconv.Unquote(m[2]); err == nil {
				m[2] = value
			}
			l.fields[m[1]] = m[2]
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at, l.who = at, l.fields["balancer"]
	return l, err == nil && l.fields["msg"] != "" && l.who != ""
}

// CountLogs counts the logs of a folder, one file a balancer, or one named log in a folder of its own each, written at
// the debug level. A desk host is cold for so long after its start.
func CountLogs(folder string, warmAfter time.Duration) (*Count, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	more, err := filepath.Glob(filepath.Join(folder, "*", "log"))
	if err != nil {
		return nil, err
	}
	c := &Count{Events: map[string][]int{}, Hosts: map[string]map[string][]int{}, Knew: map[int64]Spread{}, PassedOver: map[string]Spread{}}
	var lines []logLine
	for _, name := range append(files, more...) {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		scan := bufio.NewScanner(file)
		scan.Buffer(nil, 1<<20)
		for scan.Scan() {
			c.Lines++
			if l, ok := readLine(scan.Text()); ok {
				lines = append(lines, l)
			} else {
				c.Unread++
			}
		}
		err = scan.Err()
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("%s: no log lines", folder)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	c.count(lines, warmAfter)
	return c, nil
}

func (c *Count) count(lines []logLine, warmAfter time.Duration) {
	began := lines[0].at
	c.Seconds = int(lines[len(lines)-1].at.Sub(began).Seconds()) + 1
	balancers, started := map[string]bool{}, map[string]time.Time{}
	standing, loads := map[string]int{}, map[string][]float64{}
	seen := map[string]bool{} // a balancer and what it has come to know
	second := 0
	close := func(until int) { // of a second, for what is as of then
		for ; second < until; second++ {
			for host, n := range standing {
				c.host(host, "standing")[second] = n
			}
			for host, told := range loads {
				c.host(host, "load")[second] = int(100*mean(told) + 0.5)
			}
			clear(loads)
		}
	}
	for _, l := range lines {
		at := l.at.Sub(began).Seconds()
		balancers[l.who] = true
		close(int(at))
		event, host := l.fields["msg"], l.fields["host"]
		knows := func(what string, s Spread) (Spread, bool) {
			if key := l.who + " " + what; !seen[key] {
				seen[key] = true
				if s.Balancers++; s.Balancers == 1 {
					s.First = at
				}
				s.Last = at
				return s, true
			}
			return s, false
		}
		switch event {
		case "taken", "refused":
			switch {
			case l.fields["mid"] == "true":
				event += " mid-flow"
			case l.fields["returned"] == "true":
				event += " returned"
			default:
				event += " new"
			}
		case "probe-sent":
			c.host(host, "questions")[int(at)]++
		case "step-sent":
			c.host(host, "steps")[int(at)]++
			if s, ok := started[host]; ok && l.at.Sub(s) < warmAfter {
				c.host(host, "cold steps")[int(at)]++
			}
		case "step-up":
			standing[host]++
		case "step-ended":
			event += " " + l.fields["result"]
			if l.fields["stood"] == "true" {
				event += ", stood"
				standing[host]--
				if l.fields["result"] == "reset" {
					c.host(host, "dropped")[int(at)]++
				}
			}
		case "moved", "moved-silent":
			standing[host]--
		case "report":
			if x0, err := strconv.ParseFloat(l.fields["x0"], 64); err == nil {
				loads[host] = append(loads[host], x0)
			}
		case "listed":
			if ms, err := strconv.ParseInt(l.fields["started_ms"], 10, 64); err == nil && ms > 0 {
				started[host] = time.UnixMilli(ms)
			}
		case "discovery-answer":
			if revision, err := strconv.ParseInt(l.fields["revision"], 10, 64); err == nil {
				if s, first := knows("revision "+l.fields["revision"], c.Knew[revision]); first {
					c.Knew[revision] = s
				}
			}
		case "decision":
			event = "decision"
			if rest, ok := strings.CutPrefix(l.fields["text"], "passed over "); ok {
				host, _, _ := strings.Cut(rest, " ")
				event = "passed over"
				if s, first := knows("host "+host, c.PassedOver[host]); first {
					c.PassedOver[host] = s
				}
			}
		}
		if c.Events[event] == nil {
			c.Events[event] = make([]int, c.Seconds)
		}
		c.Events[event][int(at)]++
	}
	close(c.Seconds)
	c.Balancers = len(balancers)
}

// host finds or makes a row of a desk host.
func (c *Count) host(host, figure string) []int {
	rows := c.Hosts[host]
	if rows == nil {
		rows = map[string][]int{}
		for _, name := range figures {
			rows[name] = make([]int, c.Seconds)
		}
		for i := range rows["load"] {
			rows["load"][i] = -1
		}
		c.Hosts[host] = rows
	}
	return rows[figure]
}

func mean(all []float64) (sum float64) {
	for _, x := range all {
		sum += x
	}
	return sum / float64(len(all))
}

// Print writes the tables, a column a second.
func (c *Count) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	row := func(name string, cells []int, sum bool) {
		total := 0
		fmt.Fprintf(w, "%s\t", name)
		for _, n := range cells {
			total += n
			if text := strconv.Itoa(n); n < 0 {
				fmt.Fprint(w, ".\t")
			} else {
				fmt.Fprintf(w, "%s\t", text)
			}
		}
		if sum {
			fmt.Fprintf(w, "= %d\t", total)
		}
		fmt.Fprintln(w)
	}
	seconds := make([]int, c.Seconds)
	for i := range seconds {
		seconds[i] = i
	}
	fmt.Fprintf(w, "%d balancers, %d lines, %d unread\n", c.Balancers, c.Lines, c.Unread)
	row("second", seconds, false)
	for _, event := range slices.Sorted(maps.Keys(c.Events)) {
		row(event, c.Events[event], true)
	}
	for _, figure := range figures {
		fmt.Fprintf(w, "\nby desk host: %s\n", figure)
		for _, host := range slices.Sorted(maps.Keys(c.Hosts)) {
			row(host, c.Hosts[host][figure], figure != "standing" && figure != "load")
		}
	}
	fmt.Fprint(w, "\nknown from\tto\tby\t\n")
	for _, revision := range slices.Sorted(maps.Keys(c.Knew)) {
		s := c.Knew[revision]
		fmt.Fprintf(w, "%.2f s\t%.2f s\t%d\trevision %d\t\n", s.First, s.Last, s.Balancers, revision)
	}
	for _, host := range slices.Sorted(maps.Keys(c.PassedOver)) {
		s := c.PassedOver[host]
		fmt.Fprintf(w, "%.2f s\t%.2f s\t%d\tpassed over %s\t\n", s.First, s.Last, s.Balancers, host)
	}
	return w.Flush()
}
