package membership

// send adds updates to a message and sends it to a member.
func (m *Machine) send(name string, message *Message) {
	o := m.members[name]
	if o == nil {
		return
	}
	m.addUpdates(message, name)
	m.sendTo(m.route(name, o.Addr), message)
}

// sendTo sends a message to an address. The messages of a superseded member contain neither its record nor updates.
func (m *Machine) sendTo(addr string, message *Message) {
	message.FormatVersion, message.Cluster, message.From = FormatVersion, m.cfg.Cluster, m.self
	if m.superseded {
		message.From = Record{Name: m.self.Name, Addr: m.self.Addr}
		message.Members, message.Signals = nil, nil
	}
	m.Counters.Out++
	m.emit(Send{To: addr, Message: message})
}

// route returns the address for messages to a member: the configured route, or else addr.
func (m *Machine) route(name, addr string) string {
	if to := m.cfg.Routes[name]; to != "" {
		return to
	}
	return addr
}
