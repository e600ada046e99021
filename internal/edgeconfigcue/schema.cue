// The settings of our own that deploy/edge.cue may hold, with their units, bounds and defaults. A section that a
// file leaves out is switched off; of a section that it names, whatever it doesn't set is as written here.

// #Duration is a time: a number with its unit, ms, s, m or h.
#Duration: =~"^[0-9]+(\\.[0-9]+)?(ms|s|m|h)$"

// #Size is a number of bytes with its unit.
#Size: =~"^[0-9]{1,9}(B|KiB|MiB|GiB)$"

// #Share is a part of a whole.
#Share: number & >=0 & <=1

// #Network is a network as address/bits.
#Network: =~"^[0-9a-fA-F.:]+/[0-9]+$"

#Edge: {
	admission?: #Admission
	peers?:     #Peers
	numbered?:  #Numbered
	revisions?: #Revisions
	links?:     #Links
}

// #Address is an IPv4 address and a port.
#Address: =~"^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"

// Balancers that know of each other: docs/operators/peers.md. All others of the cluster have to be trusted.
#Peers: {
	cluster:   string & =~"^.{1,64}$" // packets of others are dropped
	listen:    #Address // UDP
	advertise: #Address | *"" // where the others reach it, if that is not where it listens
	join: [...#Address] // some that are likely to be there: any one will do
	reach: {[string]: #Address} // by a member's name, where to send in place of what it says itself
	silent_after: #Duration | *"3s" // a member that is silent for so long is held to be gone
	max_members:  int & >=2 & <=65536 | *1024
	signal_bytes: #Size | *"4KiB" // of one member
	signal_every: #Duration | *"500ms" // what this balancer knows is told so often
	signal_life:  #Duration | *"5s" // and counts as unknown after this
	// What balancers do together: docs/operators/together.md. All of a cluster have to hold the same.
	subset:   int & >=0 & <=128 | *0 // regions that a balancer looks at by itself; 0 for all
	readings: bool | *false // one probe serves many
	turns:    bool | *false // what must not happen at once in all: cold regions' budgets, explore slots, calls
}

// A balancer that talks to no other, and goes by its number and the settings' count: docs/operators/together.md.
#Numbered: {
	number: int & >=-1 & <=65536 | *-1 // from 0; -1 for the figure that its name ends in
	subset: int & >=0 & <=128 | *0 // regions of other zones that it looks at; 0 for all
}

// One routing revision for all: docs/operators/revisions.md. All of a cluster have to hold the same members in the same order.
#Revisions: {
	cluster: string & =~"^.{1,64}$" // calls of others are turned down
	listen:  #Address // TCP
	members: [{name: string & =~"^.{1,64}$", zone: string | *"", addr: #Address}, ...] // who may hold a vote
	voters: int & >=1 & <=7 | *3 // of these, drawn over the zones
	reach: {[string]: #Address} // by a member's name, where to call in place of its address
	folder:        string & !="" // of a voter's log
	lease:         #Duration | *"3s" // a permission to route newcomers lasts so long after it was asked for
	on_cut:        *"refuse" | "hold" // what a balancer does that can't be reached
	deadline:      #Duration | *"10s" // a change that not all have agreed to by then ends nowhere
	replace_after: #Duration | *"0s" // a voter gone for so long loses its vote to another member; 0s for never
	history:       int & >=2 & <=1000000 | *10000 // revisions kept
	history_bytes: #Size | *"16MiB" // 32MiB at most: a voter that lags gets all of it at once
}

// Bytes between zones, divided among the balancers: docs/operators/links.md. Which links there are is a revision's to say.
#Links: {
	safe_part: #Share & >0 & <=0.5 | *0.04 // of a link, that the balancers have among them without asking
	lease:     #Duration | *"1s" // of what one has beyond
	buffer:    #Size | *"64KiB" // most that is read ahead of one sender that is held back
}

#Admission: {
	// Caps of one address. IPv6 senders are counted by their prefix.
	address: {
		max_connections: int & >=1 | *16 // held at once
		max_silent:      int & >=1 | *8 // of these, without a first line so far
		new_per_second:  number & >0 | *10 // on average ...
		burst:           int & >=1 | *20 // ... and at once
		max_bytes:       #Size | *"16KiB" // sent before their first lines, by all of the address's silent ones
		short_patience:  #Duration | *"500ms" // for a first line, where descriptors are short (2 s otherwise)
		ipv6_prefix:     int & >=16 & <=128 | *64
		table:           int & >=64 & <=1048576 | *4096 // addresses remembered
		exempt: [...#Network] // fronts whose address stands for many clients: no caps
	}
	// Caps of a network of addresses, which may be one sender's.
	network: {
		ipv4_prefix:    int & >=8 & <=32 | *24
		ipv6_prefix:    int & >=8 & <=128 | *48
		new_per_second: number & >0 | *100
		burst:          int & >=1 | *200
		max_share:      #Share & >0 | *0.5 // of the transactions, for its strangers, from level tight on
		table:          int & >=64 & <=1048576 | *1024
	}
	// What is kept for clients that have stood here before.
	reserve: {
		identity:        *"flow" | "tenant+flow" | "address"
		known_share:     #Share & <=0.9 | *0.25 // of the descriptors for transactions
		stand_for:       #Duration | *"10s" // until a client is known
		remember_for:    #Duration | *"30m"
		max:             int & >=8 & <=1048576 | *4096 // clients remembered
		max_per_network: int & >=1 | *64
		max_per_client:  int & >=1 | *2 // transactions at once with a known client's rights
		mute_for:        #Duration | *"1m" // a known client that turned noisy is a stranger
		snapshot: {
			path:    string | *"" // none: nothing is kept across a restart
			every:   #Duration | *"30s"
			max_age: #Duration | *"30m"
		}
	}
	// How the process's descriptors are divided, and when they count as short.
	descriptors: {
		silent_share: #Share & >0 & <=0.5 | *0.2 // for those without a first line
		overhead:     int & >=0 | *16 // the process's own: listener, pollers, logs
		good_byes:    int & >=0 & <=256 | *16 // for answers to those who were refused at the door
		tight:        #Share | *0.75
		short:        #Share | *0.9
		full:         #Share | *0.98
		hysteresis:   #Share | *0.15
	}
	// What a use costs. The limit itself is the deployment's.
	memory: {
		base:        #Size | *"16MiB" // the idle process
		silent:      #Size | *"8KiB"
		transaction: #Size | *"32KiB"
		max_share:   #Share & >0 | *0.8
	}
	// Advice to the refused, where clients heed it.
	come_back: {
		advise:     bool | *true
		per_second: number & >0 | *50
		least:      #Duration | *"200ms"
		most:       #Duration | *"2s"
	}
}
