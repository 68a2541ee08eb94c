package discovery

import "time"

// Observer hears what comes of the calls.
type Observer interface {
	CallStarted(call CallStart)
	// CallResent tells that a call crossed the end of a kept connection and is made again.
	CallResent()
	CallFailed(now time.Duration, failure CallFailure)
	// WatchStopped tells that the watch is off until Watch turns it on again, or an overdue call is answered.
	WatchStopped(now time.Duration)
	ListReceived(now time.Duration, list *List)
	// LeaseChanged tells until when the list that is held may be used, after each change of that.
	LeaseChanged(now, until time.Duration)
}

// CallStart describes a call as it is written.
type CallStart struct {
	Connection int // the number of its connection, of all that were made
	Address    string
	Since      int64         // the revision that is held; None asks for the whole list
	Wait       time.Duration // discovery may hold its answer back so long
	Timeout    time.Duration // from the call to its answer; then it is overdue
}

// CallFailure describes a call that has failed or is overdue, or a connection that did not come up.
type CallFailure struct {
	Connection  int
	Address     string
	Err         error
	Elapsed     time.Duration // since the call, or since the connection was asked for
	Consecutive int           // failures since the last answer
	Retries     bool          // the watcher calls again by itself,
	RetryDelay  time.Duration // after this
	ShouldLog   bool          // it is worth a line of the log
}
