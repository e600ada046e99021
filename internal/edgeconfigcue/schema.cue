// The edge settings that deploy/edge.cue may contain, with their units, bounds and defaults. A section that a file
// leaves out is disabled; in a section that it contains, fields that it leaves out have the defaults written here.

// #Duration is a duration: a number with its unit, ms, s, m or h.
#Duration: =~"^[0-9]+(\\.[0-9]+)?(ms|s|m|h)$"

// #Size is a number of bytes with its unit.
#Size: =~"^[0-9]{1,9}(B|KiB|MiB|GiB)$"

// #Share is a fraction.
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

// Balancers that exchange their state: docs/operators/peers.md. All members of the cluster must be trusted.
#Peers: {
	cluster:   string & =~"^.{1,64}$" // packets of other clusters are dropped
	listen:    #Address // UDP
	advertise: #Address | *"" // address at which the others reach this balancer, if it is not listen
	join: [...#Address] // members that are likely to be reachable; one is enough
	reach: {[string]: #Address} // addresses to send to instead of those that members advertise, by member name
	silent_after: #Duration | *"3s" // a member that has been silent for this long is considered gone
	max_members:  int & >=2 & <=65536 | *1024
	signal_bytes: #Size | *"4KiB" // of one member
	signal_every: #Duration | *"500ms" // interval at which this balancer sends its state
	signal_life:  #Duration | *"5s" // lifetime of the state that was sent
	// Coordination among balancers: docs/operators/together.md. Must be the same at all members of a cluster.
	subset:   int & >=0 & <=128 | *0 // number of servers that a balancer observes itself; 0 for all
	readings: bool | *false // share probe results among balancers
	turns:    bool | *false // stagger what must not coincide: budgets of servers warming up, explore slots, calls
}

// A balancer that does not communicate with others, and coordinates by its number and the number of balancers in the
// settings: docs/operators/together.md.
#Numbered: {
	number: int & >=-1 & <=65536 | *-1 // from 0; -1 for the number at the end of the balancer's name
	subset: int & >=0 & <=128 | *0 // number of servers of other zones that it observes; 0 for all
}

// One routing revision for all balancers: docs/operators/revisions.md. All balancers of a cluster must have the same
// members in the same order.
#Revisions: {
	cluster: string & =~"^.{1,64}$" // calls of other clusters are rejected
	listen:  #Address // TCP
	members: [{name: string & =~"^.{1,64}$", zone: string | *"", addr: #Address}, ...] // members that may hold a vote
	voters: int & >=1 & <=7 | *3 // number of voters among the members, spread over the zones
	reach: {[string]: #Address} // addresses to call instead of the members' own, by member name
	folder:        string & !="" // of a voter's log
	lease:         #Duration | *"3s" // duration of a lease to place new clients, from when it was requested
	on_cut:        *"refuse" | "hold" // behavior of a balancer that is partitioned from the others
	deadline:      #Duration | *"10s" // a proposal fails unless all members have agreed to it by then
	replace_after: #Duration | *"0s" // a voter absent for this long loses its vote to another member; 0s for never
	history:       int & >=2 & <=1000000 | *10000 // number of revisions to keep
	history_bytes: #Size | *"16MiB" // 32MiB at most: a voter that lags behind gets the whole history at once
}

// Bandwidth between zones, divided among the balancers: docs/operators/links.md. A revision lists the links.
#Links: {
	safe_part: #Share & >0 & <=0.5 | *0.04 // fraction of a link that all balancers together may use without a grant
	lease:     #Duration | *"1s" // duration of a grant beyond the safe part
	buffer:    #Size | *"64KiB" // maximum read ahead from one sender that is throttled
}

#Admission: {
	// Limits for one address. IPv6 clients are counted by their prefix.
	address: {
		max_connections: int & >=1 | *16 // open at once
		max_silent:      int & >=1 | *8 // of these, connections that have not sent their first line
		new_per_second:  number & >0 | *10 // average rate of new connections
		burst:           int & >=1 | *20 // new connections at once
		max_bytes:       #Size | *"16KiB" // received before first lines, over all silent connections of the address
		short_patience:  #Duration | *"500ms" // timeout for a first line while descriptors are short (2 s otherwise)
		ipv6_prefix:     int & >=16 & <=128 | *64
		table:           int & >=64 & <=1048576 | *4096 // number of addresses to remember
		exempt: [...#Network] // proxies whose address is shared by many clients: no limits
	}
	// Limits for a network of addresses, which may belong to one client.
	network: {
		ipv4_prefix:    int & >=8 & <=32 | *24
		ipv6_prefix:    int & >=8 & <=128 | *48
		new_per_second: number & >0 | *100
		burst:          int & >=1 | *200
		max_share:      #Share & >0 | *0.5 // of the request capacity, for its unknown clients, from level tight on
		table:          int & >=64 & <=1048576 | *1024
	}
	// Capacity reserved for clients that have had an established connection here before.
	reserve: {
		identity:        *"flow" | "tenant+flow" | "address"
		known_share:     #Share & <=0.9 | *0.25 // of the descriptors for requests
		stand_for:       #Duration | *"10s" // a client becomes known once a flow of it has been established for this long
		remember_for:    #Duration | *"30m"
		max:             int & >=8 & <=1048576 | *4096 // number of clients to remember
		max_per_network: int & >=1 | *64
		max_per_client:  int & >=1 | *2 // concurrent requests with a known client's rights
		mute_for:        #Duration | *"1m" // a known client that exceeds its rate too often counts as unknown for this long
		snapshot: {
			path:    string | *"" // "": the known clients are lost on a restart
			every:   #Duration | *"30s"
			max_age: #Duration | *"30m"
		}
	}
	// Division of the process's descriptors, and the thresholds at which they count as short.
	descriptors: {
		silent_share: #Share & >0 & <=0.5 | *0.2 // for clients that have not sent their first line
		overhead:     int & >=0 | *16 // used by the process itself: listener, pollers, logs
		good_byes:    int & >=0 & <=256 | *16 // for answers to connections that were rejected when accepted
		tight:        #Share | *0.75
		short:        #Share | *0.9
		full:         #Share | *0.98
		hysteresis:   #Share | *0.15
	}
	// Memory use by item. The deployment sets the limit itself.
	memory: {
		base:        #Size | *"16MiB" // the idle process
		silent:      #Size | *"8KiB"
		transaction: #Size | *"32KiB"
		max_share:   #Share & >0 | *0.8
	}
	// Hints to rejected clients when to retry, where clients follow them.
	come_back: {
		advise:     bool | *true
		per_second: number & >0 | *50
		least:      #Duration | *"200ms"
		most:       #Duration | *"2s"
	}
}
