package rules

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each run keeps all rules or breaks one of them. The checker must name the broken rule and the event that broke it.
func TestRules(t *testing.T) {
	for name, test := range map[string]struct {
		events []Event
		want   string // part of the first violation's rule; empty for none
	}{
		"sound": {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Routed, "1", "a", "", ""},
			{2 * ms, Receipt, "1", "a", "r", ""}, {3 * ms, Answered, "1", "", "UP r", ""},
			{4 * ms, LineSent, "1", "", "x", ""}, {5 * ms, LineSent, "1", "", "y", ""},
			{6 * ms, Returned, "1", "", "x", ""}, {7 * ms, Returned, "1", "", "y", ""},
			{8 * ms, ClientClosed, "1", "", "", ""}, {9 * ms, RoutedEnded, "1", "a", "", ""}}, ""},
		"refused":     {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Answered, "1", "", "BUSY 200", ""}}, ""},
		"gone first":  {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, ClientClosed, "1", "", "", ""}}, ""},
		"never asked": {[]Event{{0, Unanswered, "1", "", "", ""}}, ""},
		"one after the other": {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Routed, "1", "a", "", ""},
			{3 * ms, Routed, "1", "b", "", ""}, {4 * ms, RoutedEnded, "1", "a", "", ""},
			{5 * ms, RoutedEnded, "1", "b", "", ""}, {6 * ms, Answered, "1", "", "ERR", ""}}, ""},
		"within the grace": {[]Event{{0, StateReported, "", "a", "draining", ""}, {540 * ms, Routed, "1", "a", "", ""}}, ""},
		"ready again": {[]Event{{0, StateReported, "", "a", "gone", ""}, {ms, StateReported, "", "a", "ready", ""},
			{900 * ms, Routed, "1", "a", "", ""}}, ""},

		"lost answer": {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Unanswered, "1", "", "", ""}}, "no final answer"},
		"no answer":   {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Routed, "1", "a", "", ""}}, "no final answer"},
		"two answers": {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Answered, "1", "", "BUSY", ""},
			{2 * ms, Answered, "1", "", "ERR", ""}}, "two final answers"},
		"made up": {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Answered, "1", "", "UP r", ""}}, "no region gave"},
		"two at once": {[]Event{{0, RequestSent, "1", "", "", ""}, {ms, Routed, "1", "a", "", ""},
			{2 * ms, Routed, "1", "b", "", ""}, {200 * ms, RoutedEnded, "1", "a", "", ""},
			{201 * ms, Answered, "1", "", "ERR", ""}}, "a second routed task"},
		"two for ever": {[]Event{{ms, Routed, "1", "a", "", ""}, {2 * ms, Routed, "1", "b", "", ""}},
			"a second routed task"},
		"twice to one": {[]Event{{ms, Routed, "1", "a", "", ""}, {2 * ms, Routed, "1", "a", "", ""}},
			"a second routed task"},
		"after the grace": {[]Event{{0, StateReported, "", "a", "draining", ""}, {560 * ms, Routed, "1", "a", "", ""}},
			"something new 560ms after the region was told draining"},
		"told twice": {[]Event{{0, StateReported, "", "a", "draining", ""}, {400 * ms, StateReported, "", "a", "gone", ""},
			{700 * ms, Routed, "1", "a", "", ""}}, "told draining"},
		"line lost": {[]Event{{0, LineSent, "1", "", "x", ""}, {0, LineSent, "1", "", "y", ""},
			{0, Returned, "1", "", "y", ""}}, "lost, repeated"},
		"line repeated": {[]Event{{0, LineSent, "1", "", "x", ""}, {0, Returned, "1", "", "x", ""},
			{0, Returned, "1", "", "x", ""}}, "never sent"},
		"cut": {[]Event{{0, Lost, "1", "", "", ""}}, "without MOVE"},
	} {
		c := New(Limits{Grace: 500 * ms, Slack: 50 * ms})
		for _, e := range test.events {
			c.Add(e)
		}
		got := c.End(time.Second)
		switch {
		case test.want == "" && len(got) > 0:
			t.Errorf("%s: %v", name, got[0])
		case test.want != "" && (len(got) == 0 || !strings.Contains(got[0].Rule, test.want)):
			t.Errorf("%s: %v, want %s", name, got, test.want)
		case test.want != "" && got[0].String() == "":
			t.Error("no text")
		}
	}
}

// A state that discovery reported applies only to the balancer, and to the process, that received it.
func TestReportedStateBindsTheProcess(t *testing.T) {
	for name, test := range map[string]struct {
		more []Event
		by   string
		want int
	}{
		"the one that was told": {nil, "b1", 1},
		"another":               {nil, "b2", 0},
		"its next process":      {[]Event{{At: time.Second, Kind: Started, By: "b1"}}, "b1", 0},
		"another one's next":    {[]Event{{At: time.Second, Kind: Started, By: "b2"}}, "b1", 1},
		"its next one, told itself": {[]Event{{At: time.Second, Kind: Started, By: "b1"},
			{At: time.Second, Kind: StateReported, Server: "r", Text: "draining", By: "b1"}}, "b1", 1},
	} {
		c := New(Limits{Grace: 500 * time.Millisecond})
		c.Add(Event{Kind: StateReported, Server: "r", Text: "draining", By: "b1"})
		for _, e := range test.more {
			c.Add(e)
		}
		c.Add(Event{At: 2 * time.Second, Kind: Routed, ID: "1", Server: "r", By: test.by})
		if n := len(c.End(2 * time.Second)); n != test.want {
			t.Errorf("%s: %d violations, want %d", name, n, test.want)
		}
	}
}
