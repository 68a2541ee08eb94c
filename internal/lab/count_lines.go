package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// logLine is a parsed line of a balancer's log.
type logLine struct {
	at       time.Time
	balancer string
	event    string
	fields   map[string]string
}

// isTrue reports whether a field is present with the value true.
func (l logLine) isTrue(field string) bool { return l.fields[field] == "true" }

// fleetLogs holds the log lines of all balancers in the order of their time.
type fleetLogs struct {
	lines     []logLine
	lineCount int // all lines
	unparsed  int // lines that are not log lines
}

// readLogs reads the logs of a folder: files NAME.log, and files named log in the folders in it.
func readLogs(folder string) (*fleetLogs, error) {
	files, err := logFiles(folder)
	if err != nil {
		return nil, err
	}
	logs := &fleetLogs{}
	for _, name := range files {
		if err := logs.readFile(name); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	slices.SortStableFunc(logs.lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return logs, nil
}

func logFiles(folder string) ([]string, error) {
	flat, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	nested, err := filepath.Glob(filepath.Join(folder, "*", "log"))
	return append(flat, nested...), err
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

func (logs *fleetLogs) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	scan := bufio.NewScanner(file)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		logs.lineCount++
		if l, ok := readLine(scan.Text()); ok {
			logs.lines = append(logs.lines, l)
		} else {
			logs.unparsed++
		}
	}
	return scan.Err()
}

// readLine parses a log line, written as text or JSON; a prefix that a log collector has added is skipped.
func readLine(text string) (l logLine, ok bool) {
	if i := strings.IndexByte(text, '{'); i >= 0 && strings.HasSuffix(text, "}") {
		l.fields = jsonFields(text[i:])
	} else if i := strings.Index(text, "time="); i >= 0 {
		l.fields = textFields(text[i:])
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at, l.balancer, l.event = at, l.fields["balancer"], l.fields["msg"]
	return l, err == nil && l.event != "" && l.balancer != ""
}

// jsonFields parses a JSON object, and returns nil if it cannot. Numbers keep their digits: a group key has more than a
// float64 holds exactly.
func jsonFields(text string) map[string]string {
	var raw map[string]any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if decoder.Decode(&raw) != nil {
		return nil
	}
	fields := map[string]string{}
	for name, value := range raw {
		fields[name] = fmt.Sprint(value)
	}
	return fields
}

var textField = regexp.MustCompile(`([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// textFields parses NAME=VALUE pairs; a value with spaces is quoted.
func textFields(text string) map[string]string {
	fields := map[string]string{}
	for _, match := range textField.FindAllStringSubmatch(text, -1) {
		name, value := match[1], match[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		fields[name] = value
	}
	return fields
}
