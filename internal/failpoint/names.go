package failpoint

// Defect says what one breaks, and what should find it.
type Defect struct{ Name, Breaks, FoundBy string }

// All are the defects, in the places that ask On for them.
var All = []Defect{
	{"no-refute", "a member that is suspected or told gone says nothing", "members agree"},
	{"gone-for-ever", "who was told gone is never taken back", "members agree"},
	{"no-retry", "those gone are not asked again, nor the join list", "members agree"},
	{"back-in-time", "an older version of a signal replaces a later one", "no signal goes back"},
	{"earlier-start", "what an earlier start of a member said counts on", "no signal goes back"},
	{"old-for-ever", "a view that was old once stays so", "members agree"},
	{"crash-on-nack", "a message that a slow network brings ends the process", "processes live"},
	{"loop-waits", "the data's goroutine waits for the members'", "answers in time"},
	{"task-kept", "a routed task that was given up is not closed", "one task at once"},
	{"drain-unheard", "draining regions count as ready", "nothing new to draining regions"},
	{
		"ack-before-write",
		"a voter's messages leave before what they rest on is in its folder",
		"go test ./internal/consensus, seed 22 of 3 voters",
	},
	{"write-error-ignored", "a voter whose write failed goes on", "go test ./internal/consensus, seed 1 of 1 voter"},
	{
		"vote-with-lost-folder",
		"a voter that lost its folder comes back under its old number",
		"go test ./internal/consensus, seed 6 of 3 voters",
	},
	{
		"confirm-unasked",
		"a leader confirms that it leads without asking the others",
		"go test ./internal/consensus, seed 15 of 3 voters",
	},
	{"sums-unchecked", "a voter uses entries whose sums don't fit", "go test ./internal/consensus, damage"},
	{"founds-alone", "the founder doesn't wait for all voters drawn", "go test ./internal/consensus, seed 60 of 3 voters"},
	{"lease-from-answer", "a lease counts from when its answer came", "go test ./internal/revision, seed 11367"},
	{"renews-itself", "a process that finds its lease over goes on", "go test ./internal/revision, seed 12"},
	{"stopped-untaken", "a holder says stopped before its loop is", "go test ./internal/revision, seed 1095"},
	{"leaves-untaken", "a holder says that it has left before its loop has", "go test ./internal/revision, seed 34892"},
	{
		"old-epoch",
		"a grant of before the stop puts a holder to work that has stopped",
		"go test ./internal/revision, seed 13565",
	},
	{"stop-same-epoch", "a stop doesn't begin a new epoch", "go test ./internal/revision, seed 15897"},
	{"no-margin", "a leader holds a lease lapsed after half of it", "go test ./internal/revision, seed 195"},
	{
		"new-leader-knows",
		"a new leader takes no grant that it hasn't given into account",
		"go test ./internal/revision, seed 0",
	},
	{
		"lapse-uncondemned",
		"a holder is granted more while its lapse is being settled",
		"go test ./internal/revision, seed 3803",
	},
	{
		"grant-while-stopped",
		"a holder that has stopped is granted the old revision",
		"go test ./internal/revision, seed 11",
	},
	{
		"unconfirmed",
		"a leader answers renewals without making sure that it leads",
		"go test ./internal/revision, seed 331",
	},
	{"old-reign", "commands of an earlier leader count however late", "go test ./internal/revision, seed 40005"},
	{"roster-unseen", "who comes between decision and settlement isn't asked", "go test ./internal/revision, seed 34989"},
	{"one-stopped", "a revision is settled when the first has stopped", "go test ./internal/revision, seed 11"},
	{"majority", "a majority's word is enough", "go test ./internal/revision, seed 11"},
	{"key-unseen", "a key that was handed in before makes another proposal", "go test ./internal/revision, seed 1"},
	{
		"ended-unlocked",
		"a process whose file is locked counts as ended",
		"go test -tags defects ./internal/revision/host, NotTakenForEnded",
	},
	{"from-unseen", "a proposal is taken whatever it was made from", "go test ./internal/revision, seed 1"},
	{"unchecked", "what is proposed or rolled back to isn't checked", "go test ./internal/revision, seed 2"},
	{
		"links-freed-early",
		"a smaller part of a link counts before it is acknowledged",
		"go test -tags defects ./internal/bandwidth, seed 1",
	},
	{
		"links-no-wait",
		"who lends parts of links anew doesn't wait for what it doesn't know",
		"go test -tags defects ./internal/bandwidth, seed 1",
	},
	{
		"links-held-on",
		"a lapsed part of a link goes on, as after waking",
		"go test -tags defects ./internal/bandwidth, seed 170",
	},
	{
		"fit-timeout",
		"connections to regions get a literal 250 ms to come up",
		"go test -tags defects ./internal/simulation, seed 8",
	},
	{
		"fit-zones",
		"regions of a fourth zone and more are passed over",
		"go test -tags defects ./internal/simulation, seed 20",
	},
	{"fit-class", "only a class of one name is not repeated", "go test -tags defects ./internal/simulation, seed 51"},
	{
		"fit-cold",
		"cold budgets are shared by ten balancers at most",
		"go test -tags defects ./internal/simulation, seed 374",
	},
	{"fit-field", "reports without the field x0 read as empty", "go test -tags defects ./internal/simulation, seed 104"},
	{"fit-attempts", "six attempts, whatever the settings allow", "go test -tags defects ./internal/simulation, seed 8"},
	{"fit-list", "a list ends with its line", "go test -tags defects ./internal/simulation, seed 4"},
	{
		"fit-push",
		"pushed lists are asked for as seldom as others",
		"go test -tags defects ./internal/simulation, seed 196",
	},
	{
		"links-late-answer",
		"an earlier answer on links is taken up after a later one",
		"go test -tags defects ./internal/bandwidth, seed 2782",
	},
}
