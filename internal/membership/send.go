package membership

// send adds updates to a message and sends it to a member.
func (m *Machine) send(name string, g *Message) {
	o := m.members[name]
	if o == nil {
		return
	}
	m.addUpdates(g, name)
	m.sendTo(m.route(name, o.Addr), g)
}

// sendTo sends a message to an address. The messages of a superseded member contain neither its record nor updates.
func (m *Machine) sendTo(addr string, g *Message) {
	g.FormatVersion, g.Cluster, g.From = FormatVersion, m.cfg.Cluster, m.self
	if m.superseded {
		g.From = Record{Name: m.self.Name, Addr: m.self.Addr}
		g.Members, g.Signals = nil, nil
	}
	m.Counters.Out++
	m.emit(Send{To: addr, Message: g})
}

// route returns the address for messages to a member: the configured route, or else addr.
func (m *Machine) route(name, addr string) string {
	if to := m.cfg.Routes[name]; to != "" {
		return to
	}
	return addr
}
