package request

type final int

const (
	completed final = iota
	rejected
	failed
)

// answered notes the one final answer of a request; all come by here, so that each is counted once.
func (t *Table) answered(req *request, how final) {
	req.answered = true
	t.counted(req.class, how)
}

func (t *Table) counted(class string, how final) {
	e := t.ends[class]
	switch how {
	case completed:
		e.Completed++
	case rejected:
		e.Rejected++
	case failed:
		e.Failed++
	}
	t.ends[class] = e
}

// CountRejected tells that the carrier refused a client's request which it did not give in.
func (t *Table) CountRejected(class string) { t.counted(class, rejected) }

// CountUnknownClass tells that a client asked for a class that the settings do not name. Where they did once, it counts:
// the client learned of the change by failing.
func (t *Table) CountUnknownClass(class string) {
	if _, ok := t.ends[class]; ok {
		t.counted(class, failed)
	}
}
