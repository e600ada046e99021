package membership

// Counters count what a member has done and received, by reason.
type Counters struct {
	In, Out           int64 // messages
	BytesIn, BytesOut int64

	Malformed    int64 // messages, records and datagrams that no balancer of this format would send
	OtherCluster int64 // messages of another cluster
	NotForMe     int64 // pings to a member that was at this address before
	FromMyself   int64
	TooMany      int64 // records of members beyond the limit
	TooLarge     int64

	Probes       int64
	ProbesFailed int64
	Suspected    int64
	Refuted      int64 // suspicions of this member
	Gone         int64
	Joined       int64
	Syncs        int64 // requested
	Old          int64 // times in which this process stood still

	SignalsSet     int64 // of this member's own
	SignalsRefused int64 // of this member's own
	SignalsDropped int64 // of others

	Displaced int64 // times another process took this member's name
}
