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

// settings is the settings object of a small deployment.
func settings(mode, discovery string, probing bool, effect string, deadline time.Duration) map[string]any {
	class := map[string]any{"name": "lookup", "aim": int64(300 * time.Millisecond), "deadline": int64(deadline), "effect": effect,
		"dedupScope": "all", "lateWorth": 0.0, "repeatWindow": int64(5 * time.Second), "stream": true, "worth": 1.0}
	return map[string]any{
		"allowed": map[string]any{"connIdle": int64(5e9), "connectTimeout": int64(150e6), "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
			"maxRetryAfter": int64(600e6), "mayCancel": true, "mostHeld": 1000000, "peers": false, "probing": probing, "retryAfter": true,
			"secondCopies": false, "streamsPerConn": 1048576, "tryLimit": 6},
		"clientHabits": map[string]any{"marksRetry": true}, "countedBy": "request", "discovery": discovery, "family": "conn",
		"familyInfo": map[string]any{"groups": true, "messageAim": []int64{250000000}, "mode": mode, "park": int64(8e9),
			"tellsDelay": true, "tellsLoad": true, "tenantQuotaConnections": []float64{400}},
		"flavors": []string{"full-speed"}, "grades": []any{class},
		"invariants": map[string]any{"askWithin": int64(10e9), "coldFrom": 0.15, "fall": int64(1e9), "graceToAnswer": int64(16e6),
			"overloadFactor": 3.0, "stopSendingWithin": int64(300e6), "warmAfter": int64(22e9)},
		"locality": "a", "me": 0, "overShareWorth": 0.2, "parties": []any{map[string]any{"name": "acme", "quotaPerS": 1.0, "share": 1.0}},
		"prices": map[string]any{"crossZone": 0.1}, "report": map[string]any{"fields": []string{"err_rps", "cpu", "x0"}, "via": "on_probe"},
		"siblings": 1, "stage": 0, "stages": []string{"desk"}, "tick": int64(4e6), "weightKind": "nominal", "zones": []string{"a"}}
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

func openLine(id, key, extra string, d time.Duration) string {
	return fmt.Sprintf("OPEN %s %s c=lookup,t=acme,d=%d,g=%s%s\r\n", id, key, d.Milliseconds(), key, extra)
}

// dialOpen connects and sends an OPEN line, in one write.
func dialOpen(addr, id, key, extra string, d time.Duration) (*connection, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	k := newConnection(c, id)
	if _, err := io.WriteString(c, openLine(id, key, extra, d)); err != nil {
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
