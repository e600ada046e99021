package proxy

// counters count what the sockets have seen since the start. Operators read them by the keys of their JSON form.
type counters struct {
	Accepted         int64 `json:"Accepted"`         // connections taken in
	LinesIn          int64 `json:"LinesIn"`          // lines of clients
	BytesToServers   int64 `json:"BytesToRegions"`   // forwarded to servers
	BytesToClients   int64 `json:"BytesToTerminals"` // forwarded to clients
	Pings            int64 `json:"Pings"`            // health checks of the front end
	Malformed        int64 `json:"Malformed"`        // first lines that are no request
	Rejected         int64 `json:"NoRoom"`           // connections rejected for lack of descriptors or memory
	Reloads          int64 `json:"Reloads"`          // configurations taken on SIGHUP
	MalformedSignals int64 `json:"PeersWords"`       // signals of other balancers that could not be read
}
