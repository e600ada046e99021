package admission

import "time"

// Victim is a silent client that the caller must answer with BUSY and close now.
type Victim struct {
	Ticket
	RetryAfter time.Duration // time after which it should retry, or 0 for no retry time
}

// Victims returns the silent clients to close; each is returned once. The slice is valid until the next call of a
// method of the Controller.
func (g *Controller) Victims() []Victim {
	v := g.victims
	g.victims = g.victims[:0]
	return v
}

// evictSilent chooses a silent client to close. If the new connection comes from the address that has the most silent
// clients, none is closed, and the new connection is to be refused. anyAddress lifts this restriction.
func (g *Controller) evictSilent(anyAddress bool, newAddress int32) bool {
	i, ok := g.silent.victim(g)
	if !ok || !anyAddress && g.connections[i].address == newAddress {
		return false
	}
	g.evict(i, Reclaimed)
	return true
}

// evictSilentFor chooses a silent client to close for another one whose request needs one more descriptor.
func (g *Controller) evictSilentFor(i int32) bool {
	g.silent.remove(g, i)
	ok := g.evictSilent(true, 0)
	g.silent.add(g, i)
	return ok
}

func (g *Controller) evict(i int32, reason Reason) {
	g.Counters.Refused[reason]++
	g.connections[i].victim = true
	g.openVictims++
	g.silent.remove(g, i)
	g.victims = append(g.victims, Victim{g.ticketAt(i), g.retryAfter()})
}
