package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// site has the settings of a small deployment, and the class of its clients.
type site struct {
	settings      map[string]any
	class, tenant string
	deadline      time.Duration // of that class
}

func class(name string, aim, deadline time.Duration, worth float64) map[string]any {
	return map[string]any{"name": name, "aim": aim, "deadline": deadline, "effect": "safe", "dedupScope": "all", "lateWorth": 0.0,
		"repeatWindow": 5 * time.Second, "stream": true, "worth": worth}
}

func (s *site) set(mode string, probing, retryAfter bool, tries int, connectTimeout time.Duration, messageAims ...time.Duration) {
	s.settings["allowed"] = map[string]any{"connIdle": 5 * time.Second, "connectTimeout": connectTimeout, "cpuUsPerRequest": 0.0,
		"cpuUsPerS": 800000, "maxRetryAfter": 600 * time.Millisecond, "mayCancel": true, "mostHeld": 1000000, "peers": false,
		"probing": probing, "retryAfter": retryAfter, "secondCopies": false, "streamsPerConn": 1048576, "tryLimit": tries}
	s.settings["familyInfo"] = map[string]any{"groups": true, "messageAim": messageAims, "mode": mode, "park": 8 * time.Second,
		"tellsDelay": true, "tellsLoad": true, "tenantQuotaConnections": []float64{120, 80, 40}}
	for key, value := range map[string]any{"clientHabits": map[string]any{"marksRetry": true}, "countedBy": "request",
		"discovery": "subscribe", "family": "conn", "flavors": []string{"m1"}, "locality": "a", "me": 0, "overShareWorth": 0.2,
		"parties": []any{map[string]any{"name": s.tenant, "quotaPerS": 1.0, "share": 1.0}}, "prices": map[string]any{"crossZone": 0.1},
		"siblings": 1, "stage": 0, "stages": []string{"desk"}, "tick": 4 * time.Millisecond, "weightKind": "nominal", "zones": []string{"a"}} {
		s.settings[key] = value
	}
}

func invariants(grace, warmAfter time.Duration, coldFrom, factor float64) map[string]any {
	return map[string]any{"askWithin": 10 * time.Second, "coldFrom": coldFrom, "fall": time.Second, "graceToAnswer": 16 * time.Millisecond,
		"overloadFactor": factor, "stopSendingWithin": grace, "warmAfter": warmAfter}
}

// cardiffNorth has the settings of the operators' first deployment: packets pass through, probes, six attempts.
func cardiffNorth() *site {
	ms := time.Millisecond
	s := &site{settings: map[string]any{}, class: "lookup", tenant: "dyfed-air", deadline: 1200 * ms}
	s.set("pass", true, true, 6, 150*ms, 250*ms, 50*ms)
	s.settings["grades"] = []any{class("lookup", 300*ms, 1200*ms, 1), class("seat-set", 300*ms, 1200*ms, 2)}
	s.settings["invariants"] = invariants(300*ms, 22*time.Second, 0.15, 3)
	s.settings["report"] = map[string]any{"fields": []string{"err_rps", "cpu", "x0"}, "via": "on_probe"}
	return s
}

// proxyQuiet has the settings of deploy/sites/proxy-quiet: connections end at the balancer, no probes, two attempts.
func proxyQuiet() *site {
	ms := time.Millisecond
	s := &site{settings: map[string]any{}, class: "ward-note", tenant: "st-bride", deadline: 4800 * ms}
	s.set("proxy", false, false, 2, 60*ms, 60*ms, 100*ms, 250*ms, 60*ms)
	s.settings["grades"] = []any{class("ward-note", 800*ms, 4800*ms, 1), class("bed-find", 500*ms, 3000*ms, 1),
		class("dose-check", 800*ms, 3200*ms, 2), class("scan-view", 800*ms, 4800*ms, 2)}
	s.settings["invariants"] = invariants(250*ms, 21*time.Second, 0.16, 4)
	s.settings["report"] = map[string]any{"fields": []string{}, "via": "off"}
	return s
}

func config(d *discovery, set map[string]any) map[string]any {
	return map[string]any{"discovery": d.addr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": d.d.since(-1), "settings": set}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connection is a client's connection to a balancer.
type connection struct {
	id     string
	c      net.Conn
	r      *bufio.Reader
	sentAt time.Time
}

func newConnection(c net.Conn, id string) *connection {
	return &connection{id: id, c: c, r: bufio.NewReaderSize(c, 8192), sentAt: time.Now()}
}

func (s *site) openLine(id, key string) string {
	return fmt.Sprintf("OPEN %s %s c=%s,t=%s,d=%d,g=%s\r\n", id, key, s.class, s.tenant, s.deadline.Milliseconds(), key)
}

// answerLimit is how long a client waits for the answer to OPEN: half a second more than its time.
func (s *site) answerLimit() time.Duration { return s.deadline + 500*time.Millisecond }

// dialOpen connects and sends an OPEN line, in one write.
func (s *site) dialOpen(addr, id, key string) (*connection, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	k := newConnection(c, id)
	if _, err := io.WriteString(c, s.openLine(id, key)); err != nil {
		c.Close()
		return nil, err
	}
	return k, nil
}

// read returns the next line, or how the connection ended or that the time is over.
func (k *connection) read(limit time.Duration) string {
	_ = k.c.SetReadDeadline(time.Now().Add(limit))
	text, err := k.r.ReadString('\n')
	switch {
	case err == nil:
		return strings.TrimRight(text, "\r\n")
	case errors.Is(err, io.EOF):
		return "(end)" + text
	case isTimeout(err):
		return "(nothing)" + text
	}
	return "(reset)" + text
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func firstWord(text string) string { word, _, _ := strings.Cut(text, " "); return word }
