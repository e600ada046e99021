package core

// Counters counts events since the start of the process. The JSON keys are read by operators' tools.
type Counters struct {
	Requests            int64 `json:"Taken"`          // requests received
	Established         int64 `json:"Up"`             // requests whose connection was established
	Rejected            int64 `json:"Short"`          // requests rejected for lack of capacity
	Failed              int64 `json:"Failed"`         // requests answered as failed
	ClientsDisconnected int64 `json:"GoneUnanswered"` // requests whose client disconnected before the answer
	Migrated            int64 `json:"Moved"`          // connections migrated
	MigratedFromSilent  int64 `json:"Silent"`         // connections migrated because the server had stopped replying
	Attempts            int64 `json:"Tasks"`          // attempts begun
	AttemptsAccepted    int64 `json:"TasksUp"`        // attempts accepted by their server
	AttemptsUnreachable int64 `json:"Unreachable"`    // attempts that did not reach the server, so have not run
	AttemptsReset       int64 `json:"Reset"`          // attempts whose connection was reset
	AttemptsRejected    int64 `json:"TurnedAway"`     // attempts rejected by their server
	AttemptsFailed      int64 `json:"Erred"`          // attempts that failed at their server
	AttemptsTimedOut    int64 `json:"TimedOut"`       // attempts that timed out
	AttemptsNotSent     int64 `json:"NotSent"`        // attempts abandoned before the request was sent
	Probes              int64 `json:"Probes"`         // probes sent
	ProbesFailed        int64 `json:"ProbesFailed"`   // probes without a load report
	Lists               int64 `json:"Lists"`          // endpoint lists received
	Watches             int64 `json:"Watches"`        // watches begun
	WatchesBroken       int64 `json:"WatchesBroken"`  // watches that closed, fell silent or were too slow
	LoadsReported       int64 `json:"Loads"`          // load values reported by connections
	DelaysReported      int64 `json:"Delays"`         // message delays reported to the module
	ClosedByServer      int64 `json:"EndedByRegion"`  // established connections closed by their server
	ClosedByClient      int64 `json:"EndedTerminal"`  // established connections closed by their client
	Adopted             int64 `json:"Adopted"`        // connections established before this process started
	MidFlow             int64 `json:"MidFlow"`        // connections whose packets arrived here in mid-flow
	InvalidRequests     int64 `json:"Unreadable"`     // requests with an unknown class, or an id that is in use or has run
	IdleTimedOut        int64 `json:"SaidNothing"`    // clients closed because they sent no request in time
	IdleClosed          int64 `json:"SentOff"`        // idle clients closed to free descriptors
	FlowsInherited      int64 `json:"Handed"`         // flows taken over from the predecessor process
	MigratedForDrain    int64 `json:"Cleared"`        // connections migrated for maintenance or a drain
	EstablishedLate     int64 `json:"Late"`           // connections established after their latency objective
}
