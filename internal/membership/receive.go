package membership

// handleMessage merges the content of a message and answers it.
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
			m.Counters.WrongTarget++
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
			m.endStaleView()
		}
	}
}

// accepts reports whether a message is valid and from another member of this cluster. Rejected messages are counted.
func (m *Machine) accepts(g *Message) bool {
	switch {
	case g.FormatVersion != FormatVersion || g.Kind >= kindCount || g.From.State > Gone:
		m.Counters.Malformed++
	case g.Cluster != m.cfg.Cluster:
		m.Counters.OtherCluster++
	case g.From.Name == m.self.Name && g.From.Generation == m.self.Generation && g.From.Addr == m.self.Addr:
		m.Counters.FromSelf++
	default:
		return true
	}
	return false
}

// mergeMembers merges the sender's record and the records that it passes on. A sender without a generation has been
// superseded by another process of its name; its own record is ignored.
func (m *Machine) mergeMembers(g *Message) {
	from := g.From.Name
	if g.From.Generation > 0 {
		m.mergeRecord(g.From, "announced by the member itself", from)
	}
	if o := m.members[from]; o != nil && o.Generation == g.From.Generation {
		o.lastReceived = m.now
	}
	for _, r := range g.Members {
		if r.State > Gone || len(r.Name) > MaxName || len(r.Addr) > MaxName {
			m.Counters.Malformed++
			continue
		}
		m.mergeRecord(r, "reported by "+from, from)
	}
}

// mergeSignals merges the signals of a message. While the view is stale, only answers to a current Sync are used: other
// messages may have waited in the socket during the stall, and the ages of their signals don't include that time.
func (m *Machine) mergeSignals(g *Message) {
	for _, s := range g.Signals {
		if m.stall.stale && !m.answersCurrentSync(g) {
			m.Counters.SignalsDropped++
			continue
		}
		m.mergeSignal(s)
	}
}

// reply sends an answer to the sender's address. It does not look the address up by name, because the sender may be
// unknown or another process may be listed under its name.
func (m *Machine) reply(g *Message, answer *Message) {
	if o := m.members[g.From.Name]; o != nil {
		if o.Addr == g.From.Addr {
			m.send(g.From.Name, answer)
			return
		}
		answer.Members = append(answer.Members, o.Record) // tells the sender which process has its name
	}
	m.sendTo(m.route(g.From.Name, g.From.Addr), answer)
}
