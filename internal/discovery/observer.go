package discovery

import "time"

// Observer is notified of calls, lists and leases.
type Observer interface {
	CallStarted(call CallStart)
	// CallResent is called when discovery closed a kept-alive connection just as a call was sent; the call is sent
	// again.
	CallResent()
	CallFailed(now time.Duration, failure CallFailure)
	// WatchStopped is called when the watch is off until Watch turns it on again or an overdue call is answered.
	WatchStopped(now time.Duration)
	ListReceived(now time.Duration, list *List)
	// LeaseChanged is called after each change of the time until which the list may be used.
	LeaseChanged(now, until time.Duration, cause LeaseCause)
}

// LeaseCause is the event that changed the lease on the host list.
type LeaseCause string

// The causes of a change of the lease.
const (
	LeaseRenewed     LeaseCause = "answer"          // discovery has answered a call
	LeaseLongPoll    LeaseCause = "long poll"       // a long poll is open, which extends the lease over its wait
	LeaseUnreachable LeaseCause = "unreachable"     // discovery could not be reached
	LeaseCallFailed  LeaseCause = "call failed"     // a call has ended without a usable answer
	LeaseMoved       LeaseCause = "discovery moved" // a reload has changed the address of discovery
)

// CallStart describes a call when it is sent.
type CallStart struct {
	Connection int // the number of its connection, counted since the start
	Address    string
	Since      int64         // the revision held; NoRevision requests the full list
	Wait       time.Duration // how long discovery may delay its answer
	Timeout    time.Duration // from the call to its answer; then the call is overdue
}

// CallFailure describes a call that failed or is overdue, or a connection that could not be established.
type CallFailure struct {
	Connection  int
	Address     string
	Err         error
	Elapsed     time.Duration // since the call, or since the dial if no call was sent
	Consecutive int           // failures since the last answer
	Retries     bool          // the watcher retries the call by itself
	RetryDelay  time.Duration // the delay before that retry
	ShouldLog   bool          // the failure is worth a log line
}
