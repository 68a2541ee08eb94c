package settings

import (
	"errors"
	"fmt"
	"time"

	"tealtiller/policy"
)

func (d *decoder) duration() time.Duration { return time.Duration(d.lexer.Int64()) }

func (d *decoder) decodeSettings(field string) {
	p := &d.settings.Policy
	switch field {
	case "tick":
		p.Tick = d.duration()
	case "siblings":
		p.Siblings = d.lexer.Int()
	case "allowed":
		ForEachField(d.lexer, d.decodeAllowed)
	case "discovery":
		p.MustWatch = d.lexer.String() == "subscribe"
	case "locality":
		p.Zone = d.lexer.String()
	case "familyInfo":
		ForEachField(d.lexer, d.decodeFamilyInfo)
	case "grades":
		ForEachElement(d.lexer, func() {
			// An unknown effect or scope is treated as the strictest one.
			c := classEntry{class: policy.Class{Effect: policy.Unsafe, DedupScope: policy.ScopeCell}}
			ForEachField(d.lexer, func(field string) { d.decodeClass(&c, field) })
			d.classes = append(d.classes, c)
		})
	case "invariants":
		ForEachField(d.lexer, d.decodeInvariants)
	case "prices":
		ForEachField(d.lexer, d.decodePrices)
	default:
		d.lexer.SkipRecursive()
	}
}

func (d *decoder) decodeAllowed(field string) {
	switch field {
	case "tryLimit":
		d.settings.Policy.MaxAttempts = d.lexer.Int()
	case "peers":
		d.settings.Policy.SiblingMessaging = d.lexer.Bool()
	case "probing":
		d.settings.ProbesAllowed = d.lexer.Bool()
	case "retryAfter":
		d.settings.SendRetryAfter = d.lexer.Bool()
	case "connectTimeout":
		d.settings.ConnectTimeout = d.duration()
	default:
		d.lexer.SkipRecursive()
	}
}

func (d *decoder) decodeFamilyInfo(field string) {
	switch field {
	case "messageAim":
		ForEachElement(d.lexer, func() { d.messageTargets = append(d.messageTargets, d.duration()) })
	case "tenantQuotaConnections":
		ForEachElement(d.lexer, func() { d.settings.Policy.QuotaConnections += max(d.lexer.Float64(), 0) })
	case "groups":
		d.settings.KeyByGroup = d.lexer.Bool()
	case "mode":
		d.settings.PassThrough = d.lexer.String() == "pass"
	default:
		d.lexer.SkipRecursive()
	}
}

func (d *decoder) decodeClass(c *classEntry, field string) {
	switch field {
	case "name":
		c.name = d.lexer.String()
	case "aim":
		c.class.SetupTarget = d.duration()
	case "deadline":
		c.deadline = d.duration()
		d.settings.MaxDeadline = max(d.settings.MaxDeadline, c.deadline)
	case "effect":
		if effect, ok := effectsByName[d.lexer.String()]; ok {
			c.class.Effect = effect
		}
	case "dedupScope":
		if scope, ok := scopesByName[d.lexer.String()]; ok {
			c.class.DedupScope = scope
		}
	case "repeatWindow":
		c.class.DedupWindow = d.duration()
	default:
		d.lexer.SkipRecursive()
	}
}

func (d *decoder) decodeInvariants(field string) {
	p := &d.settings.Policy
	switch field {
	case "askWithin":
		p.MaxWatchInterval = d.duration()
	case "coldFrom":
		p.ColdCapacityShare = d.lexer.Float64()
	case "warmAfter":
		p.WarmAfter = d.duration()
	case "stopSendingWithin":
		p.DrainGrace = d.duration()
	case "overloadFactor":
		p.OverloadFactor = d.lexer.Float64()
	case "fall":
		p.OverloadSpan = d.duration()
	case "spareAttempts":
		d.retryBudgetBase = new(d.lexer.Float64())
	case "resendRatio":
		d.retryBudgetRatio = new(d.lexer.Float64())
	case "ratioSpan":
		p.RetryBudgetSpan = d.duration()
	case "onlyDrainingBinds":
		p.GoneServersUsable = d.lexer.Bool()
	default:
		d.lexer.SkipRecursive()
	}
}

func (d *decoder) decodePrices(field string) {
	switch field {
	case "crossZone":
		d.settings.Policy.CrossZoneCost = max(d.lexer.Float64(), 0)
	default:
		d.lexer.SkipRecursive()
	}
}

// applyRetryBudget checks the retry budget and copies it to the policy's settings. A budget that is only partly
// specified is an error, as nothing would enforce it.
func (d *decoder) applyRetryBudget() error {
	p := &d.settings.Policy
	hasLimit := d.retryBudgetBase != nil || d.retryBudgetRatio != nil
	switch {
	case p.RetryBudgetSpan < 0:
		return fmt.Errorf("settings: ratioSpan of %v must not be negative", p.RetryBudgetSpan)
	case hasLimit && p.RetryBudgetSpan == 0:
		return errors.New("settings: spareAttempts or resendRatio without its ratioSpan")
	case !hasLimit && p.RetryBudgetSpan > 0:
		return errors.New("settings: ratioSpan without spareAttempts or resendRatio")
	}
	if d.retryBudgetBase != nil {
		p.RetryBudgetBase = *d.retryBudgetBase
	}
	if d.retryBudgetRatio != nil {
		p.RetryBudgetRatio = *d.retryBudgetRatio
	}
	if p.RetryBudgetBase < 0 || p.RetryBudgetRatio < 0 {
		return fmt.Errorf("settings: retry budget of %v spare attempts and a ratio of %v must not be negative", p.RetryBudgetBase, p.RetryBudgetRatio)
	}
	return nil
}
