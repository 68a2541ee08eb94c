package lab

import "time"

// herdWindow is too short for a balancer to learn from a report what other balancers have just sent to the same desk
// host.
const herdWindow = 100 * time.Millisecond

// herdDetector finds, for each second, the largest number of balancers that wrote an attempt to one host within one
// window.
type herdDetector struct {
	maxBySecond []int // by second
	window      time.Duration
	writers     map[string]map[string]bool // balancers that wrote an attempt in this window, by desk host
}

func newHerdDetector(maxBySecond []int) *herdDetector {
	return &herdDetector{maxBySecond: maxBySecond, writers: map[string]map[string]bool{}}
}

// addAttempt adds an attempt; attempts are added in the order of their time since the first line.
func (h *herdDetector) addAttempt(since time.Duration, host, balancer string) {
	if window := since.Truncate(herdWindow); window != h.window {
		h.window = window
		clear(h.writers)
	}
	if h.writers[host] == nil {
		h.writers[host] = map[string]bool{}
	}
	h.writers[host][balancer] = true
	second := int(since / time.Second)
	h.maxBySecond[second] = max(h.maxBySecond[second], len(h.writers[host]))
}
