package membership

// Counters count what a member has done and received, by reason.
type Counters struct {
	In       int64 `json:"In"`  // messages
	Out      int64 `json:"Out"` // messages
	BytesIn  int64 `json:"BytesIn"`
	BytesOut int64 `json:"BytesOut"`

	Malformed    int64 `json:"Malformed"`    // messages, records and datagrams that no balancer of this format would send
	OtherCluster int64 `json:"OtherCluster"` // messages of another cluster
	NotForMe     int64 `json:"NotForMe"`     // pings to a member that was at this address before
	FromMyself   int64 `json:"FromMyself"`
	TooMany      int64 `json:"TooMany"` // records of members beyond the limit
	TooLarge     int64 `json:"TooLarge"`

	Probes       int64 `json:"Probes"`
	ProbesFailed int64 `json:"ProbesFailed"`
	Suspected    int64 `json:"Suspected"`
	Refuted      int64 `json:"Refuted"` // suspicions of this member
	Gone         int64 `json:"Gone"`
	Joined       int64 `json:"Joined"`
	Syncs        int64 `json:"Syncs"` // requested
	Old          int64 `json:"Old"`   // times in which this process stood still

	SignalsSet     int64 `json:"SignalsSet"`     // of this member's own
	SignalsRefused int64 `json:"SignalsRefused"` // of this member's own
	SignalsDropped int64 `json:"SignalsDropped"` // of others

	Displaced int64 `json:"Displaced"` // times another process took this member's name
}
