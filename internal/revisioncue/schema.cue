// The fields of a routing revision, with their units and bounds: docs/operators/revisions.md. Fields that a revision
// leaves out keep the values of each balancer's settings. Every balancer checks whether it knows the names in a
// revision when the revision is proposed.

// #Name is the name of a class, tenant, server or zone.
#Name: string & =~"^\\S{1,256}$"

// #Aim is a latency objective of 1ms to 1h: a number with its unit, ms, s, m or h.
#Aim: =~"^[0-9]{1,9}(\\.[0-9]{1,9})?(ms|s|m|h)$"

#Revision: {
	note?: string & =~"^[^\\x00-\\x1f\\x7f]{0,1000}$" // for operators: the reason for the revision
	classes?: [...#Class]
	tenants?: [...{
		name:        #Name
		connections: number & >=0 & <=1_000_000_000 // open over all balancers, within the tenant's share; 0: no limit
	}]
	regions?: [...#Place] // servers, by their ids in the discovery list
	zones?: [...#Place]
	budgets?: {
		retries?: number & >0 & <=10 // retries, as a fraction of first attempts
		setups?:  int & >=1 & <=1_000_000 // connection set-ups in progress at one balancer
		cold?:    number & >0 & <=1 // fraction of the bound at which a server that is warming up fails
	}
	// Connections per second that one balancer moves away from servers that get no new clients any more; 0: they stay.
	moves?: per_second: number & >=0 & <=10_000
	links?: [...#Link]
}

#Class: {
	name:         #Name
	order?:       int & >=1 & <=255 // priority rank, 1 first: when capacity is short, the last are rejected first
	aim?:         #Aim // objective for the time to establish a connection
	message_aim?: #Aim // objective for the latency of its messages
	attempts?:    int & >=1 // maximum; the settings' maximum applies as well
}

// A server or zone that is excluded, or that new clients choose with a weight other than 1.
#Place: {
	id:      #Name
	out?:    bool
	weight?: number & >0 & <=100
}

// Bandwidth from one zone to another, over all balancers, by class: docs/operators/links.md.
#Link: {
	from:  #Name
	to:    #Name
	bytes: number & >=1 & <=1_000_000_000_000 // bytes per second
	classes?: [...{
		name:     #Name
		priority: int & >=1 & <=16 | *1 // 1 is served first, after all classes have their guaranteed part
		least:    number & >=0 & <=1 | *0 // guaranteed fraction of the link; at most 1 over all classes
		weight:   number & >0 & <=100 | *1 // among classes of the same priority
	}]
}
