package proxy

import (
	"log/slog"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/hotrestart"
)

// DiscoveryAddresses are the addresses of discovery that a process was given. They differ after discovery has moved, if
// only one of them was changed.
type DiscoveryAddresses struct {
	Override string // from the flag or the environment variable; empty if neither is set
	File     string // from the configuration file; empty if it names none
}

// String describes the addresses for an operator.
func (a DiscoveryAddresses) String() string {
	if only := a.only(); only != "" {
		return only
	}
	return a.Override + " (flag or PROXY_DISCOVERY) or " + a.File + " (file)"
}

// only returns the address if there is just one, and "" otherwise.
func (a DiscoveryAddresses) only() string {
	switch {
	case a.File == "" || a.File == a.Override:
		return a.Override
	case a.Override == "":
		return a.File
	}
	return ""
}

// other returns the address that is not the given one.
func (a DiscoveryAddresses) other(address string) string {
	if address == a.File {
		return a.Override
	}
	return a.File
}

// discoveryChoice says which addresses of discovery are called. The address that was changed last is called first. The
// other one is called as well until that one has answered, since which was changed last may be unknown, or the change
// may be a mistake.
type discoveryChoice struct {
	first  string
	second string // called if first does not answer; empty for none
	sure   bool   // first is known to be the address that was changed last
}

// chooseDiscovery returns the choice of a process that starts. It compares the addresses with those of the process
// before; last is nil if they are not known.
func chooseDiscovery(given DiscoveryAddresses, last *hotrestart.DiscoveryRecord) discoveryChoice {
	if only := given.only(); only != "" {
		return discoveryChoice{first: only, sure: true}
	}
	choice := discoveryChoice{first: given.Override}
	if last != nil {
		overrideChanged, fileChanged := given.Override != last.Override, given.File != last.File
		isListed := last.Answered == given.Override || last.Answered == given.File
		switch {
		case overrideChanged && fileChanged:
		case overrideChanged:
			choice.sure = true
		case fileChanged:
			choice.first, choice.sure = given.File, true
		case isListed:
			choice.first, choice.sure = last.Answered, true
		}
	}
	choice.second = given.other(choice.first)
	return choice
}

// afterReload returns the choice after the configuration file was read again. A new address in the file was changed
// last. Otherwise the addresses are called again as before.
func (d discoveryChoice) afterReload(before, given DiscoveryAddresses) discoveryChoice {
	only := given.only()
	switch {
	case only != "":
		return discoveryChoice{first: only, sure: true}
	case given.File != before.File:
		return discoveryChoice{first: given.File, sure: true}
	case d.sure && d.first == given.File && d.second == "": // it has answered
		return d
	}
	return discoveryChoice{first: d.first, second: given.other(d.first), sure: d.sure}
}

// afterAnswer returns the choice after discovery has answered at an address. From then on only that one is called,
// unless the other one is known to be the address that was changed last.
func (d discoveryChoice) afterAnswer(address string) discoveryChoice {
	if address == d.first || !d.sure {
		return discoveryChoice{first: address, sure: d.sure}
	}
	return d
}

// chooseDiscoveryAtStart chooses the addresses of discovery to call, with the record of the process before.
func (b *Balancer) chooseDiscoveryAtStart() {
	var last *hotrestart.DiscoveryRecord
	if b.stateDir != nil {
		record, ok, err := b.stateDir.ReadDiscovery()
		if err != nil {
			b.log.Warn("cannot read which address of discovery the previous process used", "err", err)
		}
		if ok {
			last = &record
		}
	}
	b.discovery = chooseDiscovery(b.cfg.Discovery, last)
	b.logDiscovery("discovery")
}

// logDiscovery logs which addresses of discovery are called, and which ones were given.
func (b *Balancer) logDiscovery(message string) {
	attributes := []any{"discovery", b.discovery.first}
	if b.discovery.second != "" {
		attributes = append(attributes, "second", b.discovery.second)
	}
	if b.cfg.Discovery.only() == "" {
		attributes = append(attributes, "variable", b.cfg.Discovery.Override, "file", b.cfg.Discovery.File)
	}
	b.log.Info(message, attributes...)
}

// recordDiscovery records for the next process at which address discovery has answered.
func (b *Balancer) recordDiscovery(address string) {
	if b.stateDir == nil {
		return
	}
	err := b.stateDir.WriteDiscovery(hotrestart.DiscoveryRecord{
		Override:      b.cfg.Discovery.Override,
		File:          b.cfg.Discovery.File,
		Answered:      address,
		StartedMillis: b.startedAt.UnixMilli(),
	})
	if err != nil {
		b.limitedLog.Say(time.Now(), slog.LevelWarn, "discovery-record",
			"cannot record discovery's address for the next process", slog.String("err", hint.Line(err)))
	}
}
