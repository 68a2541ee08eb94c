package net

import (
	"bufio"
	"bytes"
	"os"
	"runtime/debug"
	"strconv"
)

// limitMemory limits the memory that the Go runtime uses. During a takeover, each of the two processes has half.
func (n *Node) limitMemory() {
	limit := runtimeMemoryLimit(n.cfg.MemoryLimitMB<<20, residentFilePages())
	if n.link != nil {
		limit /= 2
	}
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// runtimeMemoryLimit is the part of the process's memory limit for the Go runtime, in bytes. The rest is for the
// resident pages of the program file, which count as the process's memory too, for what the runtime does not count, and
// for what it uses beyond its limit until a collection has ended.
func runtimeMemoryLimit(processLimit, filePages int64) int64 {
	return min(processLimit/4*3, processLimit-processLimit/16-filePages)
}

// residentFilePages is how much of the files mapped by this process is in memory, in bytes; 0 if that is unknown.
func residentFilePages() int64 {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	return parseResidentFilePages(status)
}

// parseResidentFilePages finds the figure in the text of /proc/PID/status, which gives it in KiB.
func parseResidentFilePages(status []byte) int64 {
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		value, found := bytes.CutPrefix(lines.Bytes(), []byte("RssFile:"))
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(string(bytes.TrimSpace(bytes.TrimSuffix(value, []byte("kB")))), 10, 64)
		if err != nil {
			return 0
		}
		return kib << 10
	}
	return 0
}
