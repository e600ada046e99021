package failpoint

// Defect describes a built-in defect: its name, the fault that it causes, and the test or invariant that should find
// it.
type Defect struct{ Name, Breaks, FoundBy string }

// All lists the defects that are built in at the calls of On.
var All = []Defect{
	{"no-refute", "a member that is reported as suspect or gone does not refute it", "members agree"},
	{"gone-for-ever", "a member that was reported as gone is never accepted again", "members agree"},
	{"no-retry", "gone members and the join list are not contacted again", "members agree"},
	{"back-in-time", "an older version of a signal replaces a later one", "no signal goes back"},
	{"earlier-start", "signals of an earlier generation of a member stay valid", "no signal goes back"},
	{"old-for-ever", "a view that was out of date once stays so", "members agree"},
	{"crash-on-nack", "a message that a slow network delivers late ends the process", "processes keep running"},
	{"loop-waits", "the goroutine of the data path waits for that of membership", "answers in time"},
	{"task-kept", "an attempt that was abandoned is not closed", "one attempt at a time"},
	{"drain-unheard", "draining servers count as ready", "no new requests to draining servers"},
	{
		"ack-before-write",
		"a voter sends messages before the entries that they depend on are on its disk",
		"go test ./internal/consensus, seed 22 of 3 voters",
	},
	{"write-error-ignored", "a voter continues after a failed write", "go test ./internal/consensus, seed 1 of 1 voter"},
	{
		"vote-with-lost-folder",
		"a voter that lost its folder returns with its old number",
		"go test ./internal/consensus, seed 6 of 3 voters",
	},
	{
		"confirm-unasked",
		"a leader confirms its leadership without querying the other voters",
		"go test ./internal/consensus, seed 15 of 3 voters",
	},
	{"sums-unchecked", "a voter uses entries with wrong checksums", "go test ./internal/consensus, damage"},
	{
		"founds-alone",
		"the founder does not wait for all selected voters",
		"go test ./internal/consensus, seed 60 of 3 voters",
	},
	{"lease-from-answer", "a lease counts from the arrival of its answer", "go test ./internal/revision, seed 11367"},
	{"renews-itself", "a process continues after its lease has expired", "go test ./internal/revision, seed 12"},
	{"stopped-untaken", "a holder reports that it has stopped before its loop has",
		"go test ./internal/revision, seed 1095"},
	{"leaves-untaken", "a holder reports that it has left before its loop has", "go test ./internal/revision, seed 34892"},
	{
		"old-epoch",
		"a grant from before the stop restarts a holder that has stopped",
		"go test ./internal/revision, seed 13565",
	},
	{"stop-same-epoch", "a stop does not begin a new epoch", "go test ./internal/revision, seed 15897"},
	{"no-margin", "a leader considers a lease expired after half of its duration",
		"go test ./internal/revision, seed 195"},
	{
		"new-leader-knows",
		"a new leader ignores grants of its predecessors",
		"go test ./internal/revision, seed 0",
	},
	{
		"lapse-uncondemned",
		"a holder gets a new grant while its lapse is being settled",
		"go test ./internal/revision, seed 3803",
	},
	{
		"grant-while-stopped",
		"a holder that has stopped gets a grant for the old revision",
		"go test ./internal/revision, seed 11",
	},
	{
		"unconfirmed",
		"a leader answers renewals without confirming its leadership",
		"go test ./internal/revision, seed 331",
	},
	{"old-reign", "commands of an earlier leader are applied however late", "go test ./internal/revision, seed 40005"},
	{"roster-unseen", "a member that joins between decision and settlement is not asked",
		"go test ./internal/revision, seed 34989"},
	{"one-stopped", "a revision is settled when the first holder has stopped", "go test ./internal/revision, seed 11"},
	{"majority", "the consent of a majority is enough", "go test ./internal/revision, seed 11"},
	{"key-unseen", "a key that was submitted before creates another proposal", "go test ./internal/revision, seed 1"},
	{
		"ended-unlocked",
		"a process whose file is locked counts as ended",
		"go test -tags defects ./internal/revision/host, NotTakenForEnded",
	},
	{"from-unseen", "a proposal is accepted whatever revision it is based on", "go test ./internal/revision, seed 1"},
	{"unchecked", "the content of a proposal or rollback is not checked", "go test ./internal/revision, seed 2"},
	{
		"links-freed-early",
		"a smaller share of a link counts before it is acknowledged",
		"go test -tags defects ./internal/bandwidth, seed 1",
	},
	{
		"links-no-wait",
		"a new allocator of link shares does not wait for unknown grants to expire",
		"go test -tags defects ./internal/bandwidth, seed 1",
	},
	{
		"links-held-on",
		"a lapsed share of a link stays in use, as after a suspension",
		"go test -tags defects ./internal/bandwidth, seed 170",
	},
	{
		"fit-timeout",
		"connections to servers have a fixed timeout of 250 ms",
		"go test -tags defects ./internal/simulation, seed 8",
	},
	{
		"fit-zones",
		"servers of a fourth and further zone are ignored",
		"go test -tags defects ./internal/simulation, seed 20",
	},
	{"fit-class", "only the class with one fixed name is not retried",
		"go test -tags defects ./internal/simulation, seed 51"},
	{
		"fit-cold",
		"warm-up budgets are shared by ten balancers at most",
		"go test -tags defects ./internal/simulation, seed 374",
	},
	{"fit-field", "reports without the field x0 are treated as empty",
		"go test -tags defects ./internal/simulation, seed 104"},
	{"fit-attempts", "six attempts are made, whatever the settings allow",
		"go test -tags defects ./internal/simulation, seed 8"},
	{"fit-list", "a server list ends with its first line", "go test -tags defects ./internal/simulation, seed 4"},
	{
		"fit-push",
		"pushed lists are polled as rarely as others",
		"go test -tags defects ./internal/simulation, seed 196",
	},
	{
		"links-late-answer",
		"an earlier answer about links is applied after a later one",
		"go test -tags defects ./internal/bandwidth, seed 2782",
	},
}
