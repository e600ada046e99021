package membership

// handleMessage takes a message that came.
func (m *Machine) handleMessage(g *Message) {
	if !m.accepts(g) {
		return
	}
	m.lastReceivedAt = m.now
	m.mergeMembers(g)
	m.mergeSignals(g)
	if m.superseded && g.Kind != Gossip {
		return
	}
	switch g.Kind {
	case Ping:
		if g.Target != m.self.Name {
			m.Counters.NotForMe++
			return
		}
		m.reply(g, &Message{Kind: Ack, Sequence: g.Sequence, Target: g.Target})
	case IndirectPing:
		m.relayPing(g.From.Name, g)
	case Ack:
		m.handleAck(g.From.Name, g)
	case Nack:
		m.handleNack(g)
	case Sync:
		m.answerSync(g)
	case Gossip:
		if g.Last && (g.Sequence == m.probing.syncSequence || m.stall.stale && m.answersCurrentSync(g)) {
			m.endStale()
		}
	}
}

// accepts tells whether a message is of this cluster and another member; others are counted.
func (m *Machine) accepts(g *Message) bool {
	switch {
	case g.FormatVersion != FormatVersion || g.Kind >= kinds || g.From.State > Gone:
		m.Counters.Malformed++
	case g.Cluster != m.cfg.Cluster:
		m.Counters.OtherCluster++
	case g.From.Name == m.self.Name && g.From.Generation == m.self.Generation && g.From.Addr == m.self.Addr:
		m.Counters.FromMyself++
	default:
		return true
	}
	return false
}

// mergeMembers merges the sender's record and those that it passes on. A sender without a generation only asks:
// another process has taken its name.
func (m *Machine) mergeMembers(g *Message) {
	from := g.From.Name
	if g.From.Generation > 0 {
		m.mergeRecord(g.From, "said so itself", from)
	}
	if o := m.members[from]; o != nil && o.Generation == g.From.Generation {
		o.lastReceived = m.now
	}
	for _, r := range g.Members {
		if r.State > Gone || len(r.Name) > MaxName || len(r.Addr) > MaxName {
			m.Counters.Malformed++
			continue
		}
		m.mergeRecord(r, "told by "+from, from)
	}
}

// mergeSignals merges the signals of a message. While the view is stale it may have waited for as long as this
// process stood still, and the ages of its signals say nothing of that.
func (m *Machine) mergeSignals(g *Message) {
	for _, s := range g.Signals {
		if m.stall.stale && !m.answersCurrentSync(g) {
			m.Counters.SignalsDropped++
			continue
		}
		m.mergeSignal(s)
	}
}

// reply answers to the sender's address. If another process is listed under its name, or it is not listed, its name
// would not lead there.
func (m *Machine) reply(g *Message, answer *Message) {
	if o := m.members[g.From.Name]; o != nil {
		if o.Addr == g.From.Addr {
			m.send(g.From.Name, answer)
			return
		}
		answer.Members = append(answer.Members, o.Record) // it should know who goes by its name now
	}
	m.sendTo(m.route(g.From.Name, g.From.Addr), answer)
}
