package admission

// Counters counts the decisions since the start.
type Counters struct {
	Accepted, Requests, ByKnown, ByClaimants, Promoted, Forgotten, Muted, Evicted, Exhausted, LevelChanges int64

	Refused [reasonCount]int64 // by reason
}

// Report is the state of the Controller as operators see it.
type Report struct {
	Level        string           `json:"Level"`
	Descriptors  map[string]int   `json:"Descriptors"`
	Budget       int              `json:"Budget"`
	Cut          int              `json:"Cut"`
	Known        int              `json:"Known"`
	Addresses    int              `json:"Addresses"`
	Networks     int              `json:"Networks"`
	Accepted     int64            `json:"Accepted"`
	Requests     int64            `json:"Requests"`
	Promoted     int64            `json:"Promoted"`
	Muted        int64            `json:"Muted"`
	Exhausted    int64            `json:"Exhausted"`
	ByKnown      int64            `json:"ByKnown"`
	ByClaimants  int64            `json:"ByClaimants"`
	Forgotten    int64            `json:"Forgotten"`
	Evicted      int64            `json:"Evicted"`
	LevelChanges int64            `json:"Turns"`
	Refused      map[string]int64 `json:"Refused"`
}

// Report returns the current state and counters.
func (g *Controller) Report() Report {
	c := &g.Counters
	r := Report{Level: g.ledger.level.String(), Descriptors: map[string]int{}, Refused: map[string]int64{},
		Budget: g.ledger.budget, Cut: g.ledger.cut, Known: len(g.known.index), Addresses: len(g.addresses.index),
		Networks: len(g.networks.index), Accepted: c.Accepted, Requests: c.Requests, Promoted: c.Promoted, Muted: c.Muted,
		Exhausted: c.Exhausted, ByKnown: c.ByKnown, ByClaimants: c.ByClaimants, Forgotten: c.Forgotten,
		Evicted: g.addresses.evicted + g.networks.evicted, LevelChanges: c.LevelChanges}
	for u := Silent; u < useCount; u++ {
		r.Descriptors[u.String()] = g.ledger.inUse[u]
	}
	for i, n := range c.Refused {
		if n > 0 {
			r.Refused[Reason(i).String()] = n
		}
	}
	return r
}
