package membership

// handleMessage merges the content of a message and answers it.
func (m *Machine) handleMessage(message *Message) {
	if !m.accepts(message) {
		return
	}
	m.lastReceivedAt = m.now
	m.mergeMembers(message)
	m.mergeSignals(message)
	if m.superseded && message.Kind != Gossip {
		return
	}
	switch message.Kind {
	case Ping:
		if message.Target != m.self.Name {
			m.Counters.WrongTarget++
			return
		}
		m.reply(message, &Message{Kind: Ack, Sequence: message.Sequence, Target: message.Target})
	case IndirectPing:
		m.relayPing(message.From.Name, message)
	case Ack:
		m.handleAck(message.From.Name, message)
	case Nack:
		m.handleNack(message)
	case Sync:
		m.answerSync(message)
	case Gossip:
		if message.Last && (message.Sequence == m.probing.syncSequence || m.stall.stale && m.answersCurrentSync(message)) {
			m.endStaleView()
		}
	}
}

// accepts reports whether a message is valid and from another member of this cluster. Rejected messages are counted.
func (m *Machine) accepts(message *Message) bool {
	switch {
	case message.FormatVersion != FormatVersion || message.Kind >= kindCount || message.From.State > Gone:
		m.Counters.Malformed++
	case message.Cluster != m.cfg.Cluster:
		m.Counters.OtherCluster++
	case message.From.Name == m.self.Name && message.From.Generation == m.self.Generation &&
		message.From.Addr == m.self.Addr:
		m.Counters.FromSelf++
	default:
		return true
	}
	return false
}

// mergeMembers merges the sender's record and the records that it passes on. A sender without a generation has been
// superseded by another process of its name; its own record is ignored.
func (m *Machine) mergeMembers(message *Message) {
	from := message.From.Name
	if message.From.Generation > 0 {
		m.mergeRecord(message.From, "announced by the member itself", from)
	}
	if o := m.members[from]; o != nil && o.Generation == message.From.Generation {
		o.lastReceived = m.now
	}
	for _, r := range message.Members {
		if r.State > Gone || len(r.Name) > MaxName || len(r.Addr) > MaxName {
			m.Counters.Malformed++
			continue
		}
		m.mergeRecord(r, "reported by "+from, from)
	}
}

// mergeSignals merges the signals of a message. While the view is stale, only answers to a current Sync are used: other
// messages may have waited in the socket during the stall, and the ages of their signals don't include that time.
func (m *Machine) mergeSignals(message *Message) {
	for _, s := range message.Signals {
		if m.stall.stale && !m.answersCurrentSync(message) {
			m.Counters.SignalsDropped++
			continue
		}
		m.mergeSignal(s)
	}
}

// reply sends an answer to the sender's address. It does not look the address up by name, because the sender may be
// unknown or another process may be listed under its name.
func (m *Machine) reply(message *Message, answer *Message) {
	if o := m.members[message.From.Name]; o != nil {
		if o.Addr == message.From.Addr {
			m.send(message.From.Name, answer)
			return
		}
		answer.Members = append(answer.Members, o.Record) // tells the sender which process has its name
	}
	m.sendTo(m.route(message.From.Name, message.From.Addr), answer)
}
