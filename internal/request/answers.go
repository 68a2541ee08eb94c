package request

// outcome is the kind of a request's final answer.
type outcome int

const (
	completed outcome = iota
	rejected
	failed
)

// recordAnswer records the final answer of a request. Every final answer passes through here, so each is counted once.
func (t *Table) recordAnswer(req *request, kind outcome) {
	req.answered = true
	t.countOutcome(req.class, kind)
}

func (t *Table) countOutcome(class string, kind outcome) {
	counts := t.outcomes[class]
	switch kind {
	case completed:
		counts.Completed++
	case rejected:
		counts.Rejected++
	case failed:
		counts.Failed++
	}
	t.outcomes[class] = counts
}

// CountRejected counts a request that the transport refused without submitting it.
func (t *Table) CountRejected(class string) { t.countOutcome(class, rejected) }

// CountUnknownClass counts a request for a class that is not configured, if the class has been in use before: such a
// client learns of the changed settings only by this failure.
func (t *Table) CountUnknownClass(class string) {
	if _, ok := t.outcomes[class]; ok {
		t.countOutcome(class, failed)
	}
}
