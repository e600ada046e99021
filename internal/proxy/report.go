package proxy

import "encoding/json"

// Report logs the counters as one JSON object on one line.
func (b *Balancer) Report() {
	all := map[string]any{
		"name":    b.cfg.Name,
		"sockets": b.sockets.Load(),
		"open":    b.core.OpenRequests(),
		"owed":    b.core.Unanswered(),
		"core":    b.core.Counters,
		"net":     b.counters,
	}
	if b.admission != nil {
		all["admission"] = b.admission.report()
	}
	if b.managementServer != nil {
		all["management"] = b.managementServer.Report()
	}
	if b.peers != nil {
		all["peers"] = b.peers.Counts()
	}
	if b.zoneLinks != nil {
		all["links"] = b.zoneLinks.report()
	}
	if line, err := json.Marshal(all); err == nil {
		b.log.Info("counters", "all", json.RawMessage(line))
	}
}
