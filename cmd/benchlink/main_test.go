package main

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
)

const setup = "balancers=3 classes.count=1 classes.0.aim-ms=300 classes.0.name=map classes.0.semantics=safe " +
	"family-info.message-aim-ms=50 granularity-ms=4 limits.max-attempts=3 limits.probes=true reporting.how=pull " +
	"rules.cold-ms=8000 rules.cold-from=0.3 rules.fall-multiple=3 rules.tip-after-ms=1000 zone=a"

// script returns a short sequence of events for the instances with the given numbers.
func script(instances ...int) string {
	var s strings.Builder
	each := func(format string, args ...any) {
		for _, i := range instances {
			fmt.Fprintf(&s, format+"\n", append([]any{i}, args...)...)
		}
	}
	fmt.Fprintln(&s, "turn ts-ms=1000")
	for _, i := range instances {
		fmt.Fprintf(&s, "provision balancer-id=%d seed=%d %s\n", i, 77+i, setup)
		fmt.Fprintf(&s, "members balancer-id=%d how=stale_copy serial=1 rows-in=5\n", i)
		for n := range 5 {
			fmt.Fprintf(&s, "item server=10.0.0.%d:1 hall=a flavor=x group=0 stage-state=live rating=1\n", n)
		}
	}
	fmt.Fprintln(&s, "flush")
	for n := range 400 {
		fmt.Fprintf(&s, "\nturn ts-ms=%d\n", 1020+20*n)
		each("job_in balancer-id=%[1]d id=%016[2]x patience-left-ms=1000 name-key=k%[2]d category=map", n)
		for k := range 5 {
			each("echo balancer-id=%[1]d server=10.0.0.%[2]d:1 state-code=done rtt-ms=1 load=x0:0.%[3]d,rif:9",
				k, 1+(n+k)%6)
		}
		each("reminder balancer-id=%[1]d token=tick")
		fmt.Fprintln(&s, "flush")
	}
	return s.String()
}

func serveText(t *testing.T, text string) string {
	t.Helper()
	var out bytes.Buffer
	if err := serve(strings.NewReader(text), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// The same events give the same bytes, both when repeated and when an instance runs in a process of its own.
func TestReplay(t *testing.T) {
	together := serveText(t, script(0, 1, 2))
	if again := serveText(t, script(0, 1, 2)); again != together {
		t.Error("two runs differ")
	}
	if n := strings.Count(together, "place "); n < 30 {
		t.Fatalf("only %d placements, the replay shows nothing", n)
	}
	for i := range 3 {
		var own strings.Builder
		line := regexp.MustCompile(fmt.Sprintf(`^\S+ balancer-id=%d( |$)`, i))
		for _, l := range strings.SplitAfter(together, "\n") {
			if l == "next\n" || line.MatchString(strings.TrimSuffix(l, "\n")) {
				own.WriteString(l)
			}
		}
		if alone := serveText(t, script(i)); alone != own.String() {
			t.Errorf("instance %d acts differently alone", i)
		}
	}
}

func TestServe(t *testing.T) {
	for _, c := range []struct{ name, in, out, err string }{
		{"nothing", "", "", ""},
		{"empty batch", "turn ts-ms=1\nflush\n", "next\n", ""},
		{"event for an instance that is not there", "turn ts-ms=1\nreminder balancer-id=4 token=a\nflush\n", "next\n", ""},
		{"malformed", "turn ts-ms=1\nreminder balancer-id=x token=a\nflush\n", "", "line 2"},
		{
			"invalid settings",
			"turn ts-ms=1\nprovision balancer-id=4 seed=1 balancers=1 limits.max-attempts=1\nflush\n", "", "no classes",
		},
		{"stopped", "turn ts-ms=1\nprovision balancer-id=4 seed=1 " + setup +
			"\nshutdown balancer-id=4\nreminder balancer-id=4 token=tick\nflush\n", "next\n", ""},
	} {
		var out bytes.Buffer
		err := serve(strings.NewReader(c.in), &out)
		if out.String() != c.out || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %q, error %v", c.name, out.String(), err)
		}
	}
}
