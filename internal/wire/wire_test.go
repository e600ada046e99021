package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oatloft/policy"
)

const setupLine = "provision balancer-id=3 seed=-5 areas=a,b balancers=2 classes.count=2 classes.0.aim-ms=800.0 " +
	"classes.0.group=all classes.0.key-ttl-ms=5000.0 classes.0.name=map classes.0.points=1.5 classes.0.semantics=keyed " +
	"classes.1.aim-ms=300 classes.1.name=sync classes.1.semantics=unsafe family-info.message-aim-ms=50.0,60 " +
	"family-info.tenant-quota-connections=133.0 granularity-ms=4.0 limits.max-attempts=3 limits.probes=true " +
	"membership-mode=on_request reporting.how=pull rules.ask-every-ms=10000.0 tenants.count=1 tenants.0.name=t " +
	"zone=b some.new.key=1"

func readAll(text string) ([]*Batch, error) {
	r := NewReader(strings.NewReader(text))
	var list []*Batch
	for {
		b, err := r.Read()
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		list = append(list, b)
	}
}

func TestReadEveryEvent(t *testing.T) {
	const ms = time.Millisecond
	text := strings.Join([]string{"turn ts-ms=8412.25", setupLine,
		"members balancer-id=3 how=patch serial=41 rows-in=2",
		"item server=10.0.0.1:5003 hall=a flavor=x group=2 stage-state=quiescing rating=1.5",
		"item server=10.0.0.2:5003 hall=b flavor=x group=0 stage-state=live rating=1 since-ms=6100.5",
		"job_in balancer-id=3 id=3c2f patience-left-ms=240.0 work-ms=12.5 " +
			"tenant=t room=c:x name-key=s-k category=map mid-flow=1",
		"existing balancer-id=3 id=3c30 server=10.0.0.1:5003 category=map",
		"started balancer-id=3 id=3c2f shot=1 server=10.0.0.1:5003 rtt-ms=18.5",
		"settled balancer-id=3 id=3c2f shot=0 server=10.0.0.1:5003 state-code=busy rtt-ms=1 load=x0:0.5",
		"hint_update balancer-id=3 id=3c2f shot=0 server=10.0.0.1:5003 what=1 x=250",
		"hint_update balancer-id=3 id=3c2f shot=0 server=10.0.0.1:5003 what=2 x=75",
		"hint_update balancer-id=3 id=3c2f shot=0 server=10.0.0.1:5003 what=9 x=75",
		"echo balancer-id=3 server=10.0.0.1:5003 state-code=etimedout rtt-ms=200 load=x0:0.5,x1:2,rif:7,busy:0.25,new:1",
		"timed_out_client balancer-id=3 id=3c2f", "reminder balancer-id=3 token=sweep",
		"datagram balancer-id=3 from=1 payload=68", "never_heard_of x=y", "shutdown balancer-id=3", "flush", "",
		"turn ts-ms=8416", "flush", ""}, "\n")
	batches, err := readAll(text)
	if err != nil {
		t.Fatal(err)
	}
	want := []any{
		&Start{Seed: -5, Config: policy.Config{Zone: "b", Balancers: 2, TimerResolution: 4 * ms, MaxAttempts: 3,
			ProbesEnabled:    true,
			PollEndpointList: true, PollInterval: 10 * time.Second,
			Classes: []policy.Class{
				{Name: "map", LatencyObjective: 800 * ms, MessageLatencyObjective: 50 * ms, Idempotency: policy.IdempotentByKey,
					KeyTTL: 5 * time.Second},
				{Name: "sync", LatencyObjective: 300 * ms, MessageLatencyObjective: 60 * ms, Idempotency: policy.NotIdempotent}},
			Tenants: []policy.Tenant{{Name: "t", ConnectionQuota: 133}}}},
		policy.ServerList{Kind: policy.ListDelta, Servers: []policy.Server{
			{ID: "10.0.0.1:5003", Zone: "a", Cell: 2, State: policy.Draining, Weight: 1.5},
			{ID: "10.0.0.2:5003", Zone: "b", Weight: 1, StartedAt: 6100*ms + 500*time.Microsecond}}},
		policy.Request{ID: "3c2f", Key: "s-k", Group: "c:x", Class: "map", Tenant: "t", Timeout: 240 * ms, MidFlow: true},
		policy.AdoptedConnection{Request: policy.Request{ID: "3c30", Class: "map"}, Server: "10.0.0.1:5003"},
		policy.AttemptEstablished{ID: "3c2f", Attempt: 1, Server: "10.0.0.1:5003", Latency: 18*ms + 500*time.Microsecond},
		policy.AttemptEnded{ID: "3c2f", Server: "10.0.0.1:5003", Result: policy.ResultRejected},
		policy.ConnectionLoad{ID: "3c2f", Load: 250},
		policy.MessageDelay{ID: "3c2f", Server: "10.0.0.1:5003", Delay: 75 * ms},
		nil,
		policy.ProbeResult{Server: "10.0.0.1:5003", Result: policy.ResultTimedOut,
			Report: &policy.LoadReport{Load: 0.5, Utilization: 0.25, InFlight: 7, BacklogSeconds: 2}},
		policy.ClientDisconnected{ID: "3c2f"}, policy.TimerFired{Token: "sweep"}, Stop{},
	}
	if len(batches) != 2 || batches[0].Now != 8412*ms+250*time.Microsecond || len(batches[1].Events) != 0 {
		t.Fatalf("batches %+v", batches)
	}
	if len(batches[0].Events) != len(want) {
		t.Fatalf("%d events, want %d", len(batches[0].Events), len(want))
	}
	for i, e := range batches[0].Events {
		if diff := cmp.Diff(want[i], e.What); diff != "" || e.Instance != 3 {
			t.Errorf("event %d of %d: %s", i, e.Instance, diff)
		}
	}
}

func TestErrorsNameMalformedLines(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"hello\n", "line 1: \"hello\""},
		{"turn\nflush\n", "line 1: turn: ts-ms is missing"},
		{"turn ts-ms=x\nflush\n", "line 1: turn: ts-ms: \"x\" is not a number"},
		{"turn ts-ms=NaN\nflush\n", "not a number"},
		{"turn ts-ms=1e300\nflush\n", "out of range"},
		{"turn ts-ms=1\nreminder balancer-id=0 token=a\n", "line 2: input ends inside a batch"},
		{"turn ts-ms=1\nreminder token=a\nflush\n", "line 2: reminder: balancer-id is missing"},
		{"turn ts-ms=1\nreminder balancer-id=1.5 token=a\nflush\n", "not a whole number"},
		{"turn ts-ms=1\nreminder balancer-id=0\nflush\n", "line 2: reminder: token is missing"},
		{"turn ts-ms=1\nreminder balancer-id=0 token\nflush\n", "\"token\" is not name=value"},
		{"turn ts-ms=1\nmembers balancer-id=0 how=whole rows-in=2\nitem server=a stage-state=live\nflush\n", "line 4"},
		{"turn ts-ms=1\nmembers balancer-id=0 how=whole rows-in=-2\nflush\n", "rows-in"},
		{"turn ts-ms=1\nmembers balancer-id=0 how=half rows-in=0\nflush\n", "unknown word \"half\""},
		{"turn ts-ms=1\nitem server=a\nflush\n", "line 2: unexpected item"},
		{"turn ts-ms=1\njob_in balancer-id=0 id=a category=b\nflush\n", "patience-left-ms is missing"},
		{"turn ts-ms=1\nsettled balancer-id=0 id=a server=b state-code=fine\nflush\n", "unknown word \"fine\""},
		{"turn ts-ms=1\necho balancer-id=0 server=b state-code=done load=x0\nflush\n", "not name:number"},
		{"turn ts-ms=1\nprovision balancer-id=0 seed=x\nflush\n", "seed"},
		{"turn ts-ms=1\nprovision balancer-id=0 seed=1 classes.count=1\nflush\n", "classes.0.name is missing"},
		{"turn ts-ms=1\nprovision balancer-id=0 seed=1 classes.count=99999999\nflush\n", "out of range"},
	} {
		_, err := readAll(c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// A site with tenants but without quotas lists null for each.
func TestNullIsUnset(t *testing.T) {
	batches, err := readAll("turn ts-ms=1\nprovision balancer-id=0 seed=1 family-info.tenant-quota-connections=null,5 " +
		"family-info.message-aim-ms=null tenants.count=2 tenants.0.name=a tenants.1.name=b balancers=null\n" +
		"echo balancer-id=0 server=s state-code=done load=x0:null,rif:3\nflush\n")
	if err != nil {
		t.Fatal(err)
	}
	got := batches[0].Events[0].What.(*Start).Config.Tenants
	if want := []policy.Tenant{{Name: "a"}, {Name: "b", ConnectionQuota: 5}}; !cmp.Equal(got, want) {
		t.Error(cmp.Diff(want, got))
	}
	report := batches[0].Events[1].What.(policy.ProbeResult).Report
	if want := (&policy.LoadReport{Load: -1, Utilization: -1, InFlight: 3, BacklogSeconds: -1}); !cmp.Equal(report, want) {
		t.Error(cmp.Diff(want, report))
	}
}

func TestWriteEveryAction(t *testing.T) {
	const ms = time.Millisecond
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, a := range []policy.Action{
		policy.Send{ID: "3c2f", Server: "10.0.0.1:5003", TimeoutAt: 8492*ms + 250*time.Microsecond},
		policy.Send{ID: "3c2f", Server: "10.0.0.1:5003"},
		policy.Reject{ID: "3c2f", RetryAfter: 100 * ms}, policy.Reject{ID: "3c2f"}, policy.Fail{ID: "3c2f"},
		policy.Migrate{ID: "3c2f"}, policy.Probe{Server: "10.0.0.1:5003"}, policy.Subscribe{},
		policy.SetTimer{Token: "tick", After: 20 * ms},
	} {
		w.Action(3, a)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want := `place balancer-id=3 id=3c2f server=10.0.0.1:5003 until-ms=8492.25
place balancer-id=3 id=3c2f server=10.0.0.1:5003
decline balancer-id=3 id=3c2f come-back-ms=100
decline balancer-id=3 id=3c2f
end_failed balancer-id=3 id=3c2f
relocate balancer-id=3 id=3c2f
sample balancer-id=3 server=10.0.0.1:5003
subscribe balancer-id=3 want=1
wake_me balancer-id=3 token=tick after-ms=20
next
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}

func FuzzRead(f *testing.F) {
	f.Add("turn ts-ms=1\n" + setupLine + "\nflush\n")
	f.Add("turn ts-ms=1\nmembers balancer-id=0 how=whole rows-in=1\nitem server=a stage-state=live\nflush\n")
	f.Add("turn ts-ms=1\necho balancer-id=0 server=b state-code=done load=x0:1,rif:2\nflush\n\nturn ts-ms=2\nflush\n")
	f.Add("turn ts-ms=1\nprovision balancer-id=0 seed=1 classes.count=9999\n")
	f.Add("turn ts-ms=-1e9\nsettled balancer-id=99 id= shot=-1\n")
	f.Fuzz(func(t *testing.T, text string) {
		batches, err := readAll(text)
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("error without a line: %v", err)
		}
		for _, b := range batches {
			for _, e := range b.Events {
				if s, ok := e.What.(*Start); ok {
					_, _ = policy.New(s.Config, s.Seed)
				}
			}
		}
	})
}
