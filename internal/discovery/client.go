package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Session is the state of the host list of one discovery service, across all connections to it.
type Session struct {
	host     string
	revision int64
	newest   int64 // the newest revision received from this discovery; older lists are rejected
}

// Exchange is one call on a connection and its answer. The calls on a connection use it one after the other.
type Exchange struct {
	fullList   bool // the call requests the full list
	superseded bool // another call was made later and may have been answered earlier
	buffer     []byte
	answerSize int // of header and body, once a Content-Length is known; else 0
}

// NoRevision is the revision of a session that holds no list.
const NoRevision = -1

// NewSession returns a session with the discovery at an address; revision is that of the list already held.
func NewSession(host string, revision int64) *Session {
	return &Session{host: host, revision: revision, newest: revision}
}

// Errors of calls that were answered.
var (
	// ErrUnreadable means that the answer is malformed or must not be used.
	ErrUnreadable = errors.New("discovery: unusable answer")
	// ErrOlderRevision means that the list is older than one received before.
	ErrOlderRevision = errors.New("older list revision")
	// ErrStatus means that discovery answered with another status than 200, as it does when it is down or overloaded.
	ErrStatus = errors.New("discovery: answered with status")
)

// ForgetRevision makes the session accept any revision, because discovery has restarted and counts its revisions from
// the start.
func (s *Session) ForgetRevision() { s.revision, s.newest = NoRevision, NoRevision }

// NeedsFullList reports whether the next call requests the full list, which discovery answers at once. A revision
// received from another discovery may be meaningless to this one, and the changes since it would leave out other
// differences.
func (s *Session) NeedsFullList() bool { return s.revision == NoRevision }

// Call returns the HTTP request for the full list, or for the changes since the revision held, which discovery may
// delay by wait until there are any.
func (e *Exchange) Call(s *Session, wait time.Duration) []byte {
	e.buffer, e.answerSize, e.fullList, e.superseded = e.buffer[:0], 0, s.NeedsFullList(), false
	if e.fullList {
		return fmt.Appendf(nil, "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n", s.host)
	}
	return fmt.Appendf(nil, "GET /discovery/hosts?since=%d&timeout_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		s.revision, wait.Milliseconds(), s.host)
}

// maxAnswerSize bounds the memory that an answer without an end can take.
const maxAnswerSize = 4 << 20

// Feed handles data that arrived on the connection. It returns a list once the answer is complete, nil before that, and
// an error if the call has failed; the error is ErrUnreadable if the answer was unusable. Ended means that the
// connection has ended; keep means that it can be used for the next call.
func (e *Exchange) Feed(s *Session, data []byte, ended bool) (list *List, keep bool, err error) {
	if e.buffer = append(e.buffer, data...); len(e.buffer) > maxAnswerSize {
		return nil, false, fmt.Errorf("%w: longer than %d bytes", ErrUnreadable, maxAnswerSize)
	}
	e.dropInterimResponses()
	if !ended && !e.mayBeComplete() {
		return nil, false, nil
	}
	source := &endDetector{data: e.buffer}
	resp, body, err := e.parse(source)
	if !ended && source.endReached {
		return nil, false, nil // the answer is not complete yet
	}
	if err != nil {
		return nil, false, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("%w %d", ErrStatus, resp.StatusCode)
	}
	if list, err = s.accept(body, e.fullList); err != nil {
		if errors.Is(err, ErrOlderRevision) && !e.superseded {
			s.revision = NoRevision // changes since the revision held cannot be requested any more
		}
		return nil, false, err
	}
	return list, !resp.Close && !ended, nil
}

// parse reads an answer and its body.
func (e *Exchange) parse(source io.Reader) (resp *http.Response, body []byte, err error) {
	resp, err = http.ReadResponse(bufio.NewReader(source), nil)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	e.readAnswerSize(resp)
	body, err = io.ReadAll(resp.Body)
	return resp, body, err
}

// endDetector reads data, and records whether a reader has asked for more than there is. An error that a parser reports
// then may only mean that the rest has not arrived yet, whatever error it is.
type endDetector struct {
	data       []byte
	endReached bool
}

// Read implements io.Reader.
func (d *endDetector) Read(p []byte) (n int, err error) {
	if len(d.data) == 0 {
		d.endReached = true
		return 0, io.EOF
	}
	n = copy(p, d.data)
	d.data = d.data[n:]
	return n, nil
}

// mayBeComplete reports whether the answer may be complete. It is a cheap check that saves parsing the answer before.
func (e *Exchange) mayBeComplete() bool {
	if e.answerSize > 0 {
		return len(e.buffer) >= e.answerSize
	}
	return bytes.Contains(e.buffer, headerEnd)
}

// dropInterimResponses removes the interim responses (status 1xx) that precede the answer.
func (e *Exchange) dropInterimResponses() {
	for bytes.HasPrefix(e.buffer, interimStatus) {
		_, rest, found := bytes.Cut(e.buffer, headerEnd)
		if !found {
			return
		}
		e.buffer = rest
	}
}

var (
	interimStatus = []byte("HTTP/1.1 1")
	headerEnd     = []byte("\r\n\r\n")
)

// readAnswerSize stores the size of the answer if its header contains the length. Without it, the list of a thousand
// hosts, which comes in a hundred packets, would be parsed anew with each packet, which takes longer than a drain
// grace.
func (e *Exchange) readAnswerSize(resp *http.Response) {
	if resp.ContentLength >= 0 && resp.ContentLength <= maxAnswerSize {
		e.answerSize = bytes.Index(e.buffer, headerEnd) + len(headerEnd) + int(resp.ContentLength)
	}
}

// accept parses the answer to a call and updates the revision held, unless the list must be rejected.
func (s *Session) accept(body []byte, fullList bool) (*List, error) {
	list, err := Parse(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if (fullList || s.NeedsFullList()) && !list.Complete { // changes may refer to a list not held
		return nil, fmt.Errorf("%w: part of the list instead of the full list", ErrUnreadable)
	}
	// An older list taken for a new one would put a draining desk host back into service.
	if list.Revision < s.newest {
		return nil, fmt.Errorf("%w: %w: got %d after %d", ErrUnreadable, ErrOlderRevision, list.Revision, s.newest)
	}
	s.revision, s.newest = list.Revision, list.Revision
	return list, nil
}
