package policy

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// listService answers calls for the list one after the other, each in serviceTime. A call that has waited for maxWait
// is refused.
type listService struct {
	serviceTime, maxWait time.Duration
	freeAt               time.Duration // when all accepted calls are answered
}

// call accepts a call and returns when it is answered or refused.
func (s *listService) call(at time.Duration) (done time.Duration, answered bool) {
	s.freeAt = max(s.freeAt, at)
	if s.freeAt-at > s.maxWait {
		return at + s.maxWait, false
	}
	s.freeAt += s.serviceTime
	return s.freeAt, true
}

// plannedCall is a sibling's next call for the list.
type plannedCall struct {
	b  *sibling
	at time.Duration
}

// planCall delivers a list event to a sibling and returns the call that it schedules.
func planCall(t *testing.T, b *sibling, now time.Duration, kind MembersKind) plannedCall {
	t.Helper()
	b.host.actions = nil
	b.Members(now, kind, nil)
	for _, wake := range b.host.take("wake") {
		if wake.timer == timerWatch {
			return plannedCall{b: b, at: wake.duration}
		}
	}
	t.Fatal("no call scheduled")
	return plannedCall{}
}

// callUntilAnswered makes all siblings call a service, again after each refusal. It returns how many calls were refused
// and when the last sibling was answered.
func callUntilAnswered(t *testing.T, all []*sibling, service *listService, kind MembersKind) (refused int, last time.Duration) {
	t.Helper()
	var calls []plannedCall
	for _, b := range all {
		calls = append(calls, planCall(t, b, t0, kind))
	}
	byTime := func(c, o plannedCall) int { return cmp.Compare(c.at, o.at) }
	slices.SortFunc(calls, byTime)
	for len(calls) > 0 {
		next := calls[0]
		calls = calls[1:]
		done, answered := service.call(next.at)
		if answered {
			last = max(last, done-t0)
			continue
		}
		refused++
		retry := planCall(t, next.b, done, WatchFailed)
		place, _ := slices.BinarySearchFunc(calls, retry, byTime)
		calls = slices.Insert(calls, place, retry)
	}
	return refused, last
}

// If the service can answer a call of each sibling before a change counts as notified, it refuses hardly any call after
// an outage. If it needs most of MaxWatchInterval to answer all siblings it cannot notify them in time; then it is
// never idle for long at the start and after an outage, so that all siblings are answered no later than one further
// call after the minimum time that it needs, and on average no sibling is refused more than once.
func TestListCallsOfSiblingsDoNotOverloadTheService(t *testing.T) {
	for _, n := range []int{3, 30, 300, 700, 1024} {
		service := &listService{serviceTime: notifiedWithin * 3 / 4 / time.Duration(max(n, 45)), maxWait: 2 * time.Second}
		if refused, _ := callUntilAnswered(t, newSiblings(n, 0, fleet(100)), service, WatchFailed); refused > n/20 {
			t.Errorf("%d siblings after an outage: %d calls refused", n, refused)
		}
		for _, kind := range []MembersKind{Cached, WatchFailed} {
			slow := &listService{serviceTime: settings().MaxWatchInterval * 4 / 5 / time.Duration(max(n, 80)), maxWait: 2 * time.Second}
			refused, last := callUntilAnswered(t, newSiblings(n, 0, fleet(100)), slow, kind)
			minTime := slow.serviceTime * time.Duration(max(n, 80))
			if last > minTime+notifiedWithin*3/4 || refused > n {
				t.Errorf("%d siblings, event %v: %d calls refused, the last sibling answered after %v", n, kind, refused, last)
			}
			if n < 10 && last > time.Second+slow.serviceTime {
				t.Errorf("%d siblings, event %v: the last one answered after %v", n, kind, last)
			}
		}
	}
}

// A process that has just started may hold a list that is seconds old, and changes since then may count as notified as
// soon as it serves. It therefore calls at once however many siblings there are, as it cannot know whether they have
// started too.
func TestFirstListCallIsMadeAtOnceInAnyFleet(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300, 1024} {
		for _, b := range newSiblings(n, 0, fleet(10)) {
			if at := planCall(t, b, t0, Cached).at - t0; at > min(300*ms, time.Duration(n)*12*ms) {
				t.Fatalf("%d siblings: the first call is made %v after the start", n, at)
			}
		}
	}
}

// The call after a refusal is answered before a change counts as notified. In any fleet, a call that follows within 4.5
// s leaves 1.5 s for the answer. In a fleet of up to 24 it follows so soon that a busy service, which takes 3.9 s, has
// answered it by then.
func TestNextListCallFollowsInTimeAfterFailures(t *testing.T) {
	const answer = 1500 * ms
	for _, n := range []int{3, 24, 30, 80, 300, 700, 1024} {
		for _, b := range newSiblings(n, 0, fleet(10)) {
			for fails := range 8 {
				wait := planCall(t, b, t0, WatchFailed).at - t0
				if latest := min(time.Duration(max(n, 24))*100*ms, notifiedWithin-answer); wait > latest {
					t.Fatalf("%d siblings, failure %d: the next call is %v after it, later than %v", n, fails+1, wait, latest)
				}
			}
		}
	}
}

// Guards against a fleet that refuses its clients for as long as discovery is down, because its leases ended before it
// had called again and seen that: after a failed call the next one is made while the lease lasts.
func TestNextListCallIsMadeWithinTheLease(t *testing.T) {
	for _, n := range []int{3, 300, 1024} {
		for _, left := range []time.Duration{time.Second, 2 * time.Second, notifiedWithin} {
			for _, b := range newSiblings(n, 0, fleet(10)) {
				b.Lease(t0, t0+left)
				for fails := range 3 {
					if at := planCall(t, b, t0, WatchFailed).at; at > t0+left-callMargin {
						t.Fatalf("%d siblings, failure %d: the next call is made %v after a lease of %v began", n, fails+1, at-t0, left)
					}
				}
				b.Lease(t0, t0) // without a lease there is nothing to keep, and the calls are spread as before
			}
		}
	}
}
