package policy_test

import (
	"fmt"
	"time"

	"oatloft/policy"
)

// The host passes events with the current time to Step, and carries out the returned actions.
func Example() {
	b, err := policy.New(policy.Config{
		Balancers:     1,
		MaxAttempts:   3,
		ProbesEnabled: true,
		Classes:       []policy.Class{{Name: "stream", LatencyObjective: 500 * time.Millisecond}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // any monotonic clock
	loads := map[string]float64{"10.0.0.1:80": 0.7, "10.0.0.2:80": 0.3}

	events := []policy.Event{
		policy.ServerList{Kind: policy.ListFull, Servers: []policy.Server{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}},
		policy.Request{ID: "r1", Key: "client-7", Class: "stream", Timeout: 2 * time.Second},
	}
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		for _, action := range b.Step(now, ev, nil) {
			switch a := action.(type) {
			case policy.Probe: // request the server's load report; here it is known
				events = append(events, policy.ProbeResult{Server: a.Server, Report: &policy.LoadReport{
					Load: loads[a.Server], Utilization: -1, InFlight: -1, BacklogSeconds: -1}})
			case policy.Send: // open the connection and report the result
				fmt.Println("send", a.ID, "to", a.Server)
				events = append(events, policy.AttemptEstablished{ID: a.ID, Server: a.Server, Latency: 3 * time.Millisecond})
			case policy.Reject, policy.Fail:
				fmt.Println("final answer", a)
			case policy.SetTimer: // after a.After, pass policy.TimerFired{Token: a.Token}
			}
		}
	}
	// Output: send r1 to 10.0.0.2:80
}
