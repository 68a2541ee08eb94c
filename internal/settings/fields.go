package settings

import (
	"errors"
	"fmt"
	"time"

	"tealtiller/policy"
)

func (d *decoder) time() time.Duration { return time.Duration(d.l.Int64()) }

func (d *decoder) top(field string) {
	p := &d.out.Policy
	switch field {
	case "tick":
		p.Tick = d.time()
	case "siblings":
		p.Siblings = d.l.Int()
	case "allowed":
		ForEachField(d.l, d.allowed)
	case "discovery":
		p.MustWatch = d.l.String() == "subscribe"
	case "locality":
		p.Zone = d.l.String()
	case "familyInfo":
		ForEachField(d.l, d.family)
	case "grades":
		ForEachElement(d.l, func() {
			// the strictest, for a word not known
			g := grade{class: policy.Class{Effect: policy.Unsafe, DedupScope: policy.ScopeCell}}
			ForEachField(d.l, func(field string) { d.grade(&g, field) })
			d.grades = append(d.grades, g)
		})
	case "invariants":
		ForEachField(d.l, d.invariants)
	case "prices":
		ForEachField(d.l, d.prices)
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) allowed(field string) {
	switch field {
	case "tryLimit":
		d.out.Policy.MaxAttempts = d.l.Int()
	case "peers":
		d.out.Policy.SiblingMessaging = d.l.Bool()
	case "probing":
		d.out.ProbesAllowed = d.l.Bool()
	case "retryAfter":
		d.out.SendRetryAfter = d.l.Bool()
	case "connectTimeout":
		d.out.ConnectTimeout = d.time()
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) family(field string) {
	switch field {
	case "messageAim":
		ForEachElement(d.l, func() { d.messageAims = append(d.messageAims, d.time()) })
	case "tenantQuotaConnections":
		ForEachElement(d.l, func() { d.out.Policy.QuotaConnections += max(d.l.Float64(), 0) })
	case "groups":
		d.out.KeyByGroup = d.l.Bool()
	case "mode":
		d.out.PassThrough = d.l.String() == "pass"
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) grade(g *grade, field string) {
	switch field {
	case "name":
		g.name = d.l.String()
	case "aim":
		g.class.SetupTarget = d.time()
	case "deadline":
		g.deadline = d.time()
		d.out.MaxDeadline = max(d.out.MaxDeadline, g.deadline)
	case "effect":
		if effect, ok := effects[d.l.String()]; ok {
			g.class.Effect = effect
		}
	case "dedupScope":
		if scope, ok := scopes[d.l.String()]; ok {
			g.class.DedupScope = scope
		}
	case "repeatWindow":
		g.class.DedupWindow = d.time()
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) invariants(field string) {
	p := &d.out.Policy
	switch field {
	case "askWithin":
		p.MaxWatchInterval = d.time()
	case "coldFrom":
		p.ColdCapacityShare = d.l.Float64()
	case "warmAfter":
		p.WarmAfter = d.time()
	case "stopSendingWithin":
		p.DrainGrace = d.time()
	case "overloadFactor":
		p.OverloadFactor = d.l.Float64()
	case "fall":
		p.OverloadSpan = d.time()
	case "spareAttempts":
		d.spare = new(d.l.Float64())
	case "resendRatio":
		d.ratio = new(d.l.Float64())
	case "ratioSpan":
		p.RetryBudgetSpan = d.time()
	case "onlyDrainingBinds":
		p.GoneServersUsable = d.l.Bool()
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) prices(field string) {
	switch field {
	case "crossZone":
		d.out.Policy.CrossZoneCost = max(d.l.Float64(), 0)
	default:
		d.l.SkipRecursive()
	}
}

// budget hands on the budget of attempts. Half of one is malformed: it would be kept by nobody.
func (d *decoder) budget() error {
	p := &d.out.Policy
	given := d.spare != nil || d.ratio != nil
	switch {
	case p.RetryBudgetSpan < 0:
		return fmt.Errorf("settings: ratioSpan of %v", p.RetryBudgetSpan)
	case given && p.RetryBudgetSpan == 0:
		return errors.New("settings: a budget of attempts without its ratioSpan")
	case !given && p.RetryBudgetSpan > 0:
		return errors.New("settings: a ratioSpan without spareAttempts or resendRatio")
	}
	if d.spare != nil {
		p.RetryBudgetBase = *d.spare
	}
	if d.ratio != nil {
		p.RetryBudgetRatio = *d.ratio
	}
	if p.RetryBudgetBase < 0 || p.RetryBudgetRatio < 0 {
		return fmt.Errorf("settings: a budget of %v spare attempts and a ratio of %v", p.RetryBudgetBase, p.RetryBudgetRatio)
	}
	return nil
}
