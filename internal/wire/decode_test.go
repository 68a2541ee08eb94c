package wire

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tealtiller/policy"
)

func TestDecodedFields(t *testing.T) {
	d := NewDecoder()
	e, err := d.DecodeLine([]byte(`{"order":{"balancer":3,"requestId":"x","band":"sales","group":null,"ttl":9,"object":77,"bits":9,"later":{"a":[1]}}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Request{ID: "x", Class: "sales", Key: 77, HasKey: true, TTL: 9, MidFlow: true}
	if e.Kind != Request || e.Instance != 3 || e.Request != want {
		t.Errorf("decoded %+v", e)
	}
	if e, _ = d.DecodeLine([]byte(`{"order":{"balancer":3,"requestId":"y","group":0}}`)); !e.Request.HasKey || e.Request.Key != 0 {
		t.Errorf("group 0 was not taken as a key: %+v", e.Request)
	}
	if e, _ = d.DecodeLine([]byte(`{"order":{"balancer":3,"requestId":"z"}}`)); e.Request.HasKey {
		t.Errorf("request without group and object has a key: %+v", e.Request)
	}
	if e, err = d.DecodeLine([]byte(`{"novelty":{"deep":{"a":[1,{"b":2}]}}}`)); err != nil || e.Kind != Ignored {
		t.Errorf("unknown event: %+v, %v", e, err)
	}
}

func BenchmarkDecodedEvent(b *testing.B) {
	d, line := NewDecoder(), []byte(fmt.Sprintf(orderEvent, 3, 17, 4050608788307276))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.DecodeLine(line); err != nil {
			b.Fatal(err)
		}
	}
}

func powerOnWithInvariants(invariants string) []byte {
	return []byte(`{"powerOn":{"balancer":0,"prng":7,"bootInfo":{"locality":"z","invariants":{` + invariants + `}}}}`)
}

func TestBudgetAndDrainSettings(t *testing.T) {
	for text, want := range map[string]policy.Settings{
		"": {},
		`"spareAttempts":2.0,"resendRatio":0.03,"ratioSpan":2000000000`: {
			RetryBudgetSpan: 2 * time.Second, RetryBudgetBase: 2, RetryBudgetRatio: 0.03},
		`"spareAttempts":3,"resendRatio":0,"ratioSpan":5000000000`: {RetryBudgetSpan: 5 * time.Second, RetryBudgetBase: 3},
		`"resendRatio":0.1,"ratioSpan":1000000000`:                 {RetryBudgetSpan: time.Second, RetryBudgetRatio: 0.1},
		`"spareAttempts":null,"resendRatio":null,"ratioSpan":null`: {},
		`"onlyDrainingBinds":true`:                                 {GoneServersUsable: true},
		`"onlyDrainingBinds":false`:                                {},
	} {
		e, err := NewDecoder().DecodeLine(powerOnWithInvariants(text))
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		got := e.Settings
		if got.RetryBudgetSpan != want.RetryBudgetSpan || got.RetryBudgetBase != want.RetryBudgetBase || got.Zone != "z" ||
			got.RetryBudgetRatio != want.RetryBudgetRatio || got.GoneServersUsable != want.GoneServersUsable {
			t.Errorf("%s: %+v", text, got)
		}
	}
	for text, want := range map[string]string{
		`"spareAttempts":2`:                           "without its ratioSpan",
		`"resendRatio":0.1,"ratioSpan":0`:             "without its ratioSpan",
		`"ratioSpan":2000000000`:                      "without spareAttempts",
		`"spareAttempts":2,"ratioSpan":-1`:            "ratioSpan of",
		`"spareAttempts":-1,"ratioSpan":1`:            "-1 spare",
		`"resendRatio":-0.5,"ratioSpan":1`:            "ratio of -0.5",
		`"spareAttempts":"two","ratioSpan":1`:         "settings",
		`"onlyDrainingBinds":1`:                       "settings",
		`"spareAttempts":2,"ratioSpan":1.5`:           "settings",
		`"spareAttempts":{},"resendRatio":0.1`:        "settings",
		`"resendRatio":[0.1],"ratioSpan":2000000000`:  "settings",
		`"onlyDrainingBinds":"yes"`:                   "settings",
		`"spareAttempts":2,"ratioSpan":"2000000000"`:  "settings",
		`"spareAttempts":1e999,"ratioSpan":200000000`: "settings",
	} {
		if _, err := NewDecoder().DecodeLine(powerOnWithInvariants(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}

func TestServerKindAndZone(t *testing.T) {
	e, err := NewDecoder().DecodeLine([]byte(listEvent))
	if err != nil || len(e.Servers) != 2 || e.Servers[0].Kind != "m" || e.Servers[0].Zone != "z" {
		t.Errorf("entries %+v, %v", e.Servers, err)
	}
}
