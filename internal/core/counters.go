package core

// Counters count what the balancer has done since its start. Operators read them by the keys of their JSON form.
type Counters struct {
	Requests            int64 `json:"Taken"`          // requests received
	Established         int64 `json:"Up"`             // requests whose connection was established
	Rejected            int64 `json:"Short"`          // requests rejected for lack of capacity
	Failed              int64 `json:"Failed"`         // requests answered as failed
	ClientsGone         int64 `json:"GoneUnanswered"` // requests whose client left before its answer
	Migrated            int64 `json:"Moved"`          // connections migrated
	MigratedOffSilent   int64 `json:"Silent"`         // of these, off servers that returned nothing
	Attempts            int64 `json:"Tasks"`          // attempts begun
	AttemptsAccepted    int64 `json:"TasksUp"`        // attempts accepted by their server
	AttemptsUnreachable int64 `json:"Unreachable"`    // attempts that never ran
	AttemptsReset       int64 `json:"Reset"`          // attempts whose connection broke
	AttemptsRejected    int64 `json:"TurnedAway"`     // attempts rejected by their server
	AttemptsFailed      int64 `json:"Erred"`          // attempts that failed at their server
	AttemptsTimedOut    int64 `json:"TimedOut"`       // attempts that timed out
	AttemptsNotSent     int64 `json:"NotSent"`        // attempts given up before their request was sent
	Probes              int64 `json:"Probes"`         // probes sent
	ProbesFailed        int64 `json:"ProbesFailed"`   // probes without a load report
	Lists               int64 `json:"Lists"`          // endpoint lists received
	Watches             int64 `json:"Watches"`        // watches begun
	WatchesBroken       int64 `json:"WatchesBroken"`  // watches that ended or fell silent
	LoadsReported       int64 `json:"Loads"`          // loads that connections told
	DelaysReported      int64 `json:"Delays"`         // message delays that were worth telling
	ClosedByServer      int64 `json:"EndedByRegion"`  // established connections closed by their server
	ClosedByClient      int64 `json:"EndedTerminal"`  // established connections closed by their client
	Adopted             int64 `json:"Adopted"`        // connections established before this process started
	MidFlow             int64 `json:"MidFlow"`        // connections whose packets came here in mid-flow
	InvalidRequests     int64 `json:"Unreadable"`     // requests of an unknown class, or with an id that is in use
	IdleTimedOut        int64 `json:"SaidNothing"`    // clients closed since they sent no request in time
	IdleClosed          int64 `json:"SentOff"`        // clients without a request closed for lack of descriptors
	FlowsInherited      int64 `json:"Handed"`         // flows taken over from the predecessor
	MigratedForDrain    int64 `json:"Cleared"`        // connections migrated for maintenance or a drain
	EstablishedLate     int64 `json:"Late"`           // connections established after their latency objective
}
