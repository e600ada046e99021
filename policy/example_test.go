package policy_test

import (
	"fmt"
	"time"

	"oatloft/policy"
)

// A host feeds events in, with the time, and carries out what comes back.
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
	now := time.Second // any clock that only goes forward
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
			case policy.Probe: // ask the server for its load; here the answer is at hand
				events = append(events, policy.ProbeResult{Server: a.Server, Report: &policy.LoadReport{
					Load: loads[a.Server], Utilization: -1, InFlight: -1, BacklogSeconds: -1}})
			case policy.Send: // open the connection and report what comes of it
				fmt.Println("send", a.ID, "to", a.Server)
				events = append(events, policy.AttemptEstablished{ID: a.ID, Server: a.Server, Latency: 3 * time.Millisecond})
			case policy.Reject, policy.Fail:
				fmt.Println("final answer", a)
			case policy.SetTimer: // after a.After, feed policy.Wake{Token: a.Token}
			}
		}
	}
	// Output: send r1 to 10.0.0.2:80
}
