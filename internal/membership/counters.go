package membership

// Counters counts the activity of a member since its start. The JSON keys must not change.
type Counters struct {
	In       int64 `json:"In"`  // messages
	Out      int64 `json:"Out"` // messages
	BytesIn  int64 `json:"BytesIn"`
	BytesOut int64 `json:"BytesOut"`

	Malformed      int64 `json:"Malformed"`    // messages, records and datagrams not in this format version
	OtherCluster   int64 `json:"OtherCluster"` // messages of another cluster
	WrongTarget    int64 `json:"NotForMe"`     // pings for another member that had this address before
	FromSelf       int64 `json:"FromMyself"`   // own messages that came back
	TooManyMembers int64 `json:"TooMany"`      // records beyond Config.MaxMembers, or with an invalid name or address
	TooLarge       int64 `json:"TooLarge"`     // not in use

	Probes       int64 `json:"Probes"`
	ProbesFailed int64 `json:"ProbesFailed"`
	Suspected    int64 `json:"Suspected"`
	Refuted      int64 `json:"Refuted"` // suspicions of this member that it refuted
	Gone         int64 `json:"Gone"`
	Joined       int64 `json:"Joined"`
	Syncs        int64 `json:"Syncs"` // Sync requests sent to known members
	Stalls       int64 `json:"Old"`   // times this process did not run for longer than the stall time

	SignalsSet     int64 `json:"SignalsSet"`     // own signals
	SignalsRefused int64 `json:"SignalsRefused"` // own signals beyond the limits
	SignalsDropped int64 `json:"SignalsDropped"` // signals of other members

	Superseded int64 `json:"Displaced"` // times another process took over this member's name
}
