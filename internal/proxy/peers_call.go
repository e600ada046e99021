package proxy

import (
	"fmt"
	"strings"
	"time"

	"oatloft/internal/coordination"
	"oatloft/internal/management"
	"oatloft/internal/membership"
)

// maxDescriptionBytes bounds the description of a member in an answer.
const maxDescriptionBytes = 3000

// describePeers answers the call peers: without a name, with a summary of the members; with a name, with that
// member's state; with ">" before a name, with the state of the next member. It reads a view and does not wait for
// the loop.
func (b *Balancer) describePeers(name string) management.Answer {
	if b.peers == nil {
		return refuse(
			"peers are off: the edge file has no such section",
			"add it and restart, or call a balancer that has it",
		)
	}
	view := b.peers.View()
	if name == "" {
		return summarizePeers(view)
	}
	after, next := strings.CutPrefix(name, ">")
	for _, m := range view.Members {
		if next && m.Name > after || !next && m.Name == name {
			return management.Yes("%s", describeMember(view, m))
		}
	}
	if next {
		return management.Yes("-")
	}
	return refuse("nobody of that name is known", "list the names with oatctl peers")
}

// summarizePeers counts the members by state.
func summarizePeers(view membership.View) management.Answer {
	count := map[membership.State]int{}
	for _, m := range view.Members {
		count[m.State]++
	}
	flags := ""
	for _, flag := range []struct {
		set  bool
		text string
	}{
		{view.Stale, " view-is-old"},
		{view.Isolated, " alone"},
		{view.Superseded, " displaced"},
	} {
		if flag.set {
			flags += flag.text
		}
	}
	return management.Yes("%s generation=%d members=%d alive=%d leaving=%d suspect=%d gone=%d slow=%d%s",
		view.Self.Name, view.Self.Generation, len(view.Members)+1, count[membership.Alive]+1, count[membership.Leaving],
		count[membership.Suspect], count[membership.Gone], view.Slowdown, flags)
}

// describeMember describes a member and its signals.
func describeMember(view membership.View, m membership.MemberView) string {
	lastReceived := "never"
	if m.LastReceived > 0 {
		lastReceived = (view.At - m.LastReceived).Round(time.Millisecond).String() + "-ago"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s at=%s state=%s since=%v generation=%d heard=%s",
		m.Name, m.Addr, m.State, m.InState.Round(time.Millisecond), m.Generation, lastReceived)
	for i, s := range m.Signals {
		if text.Len() > maxDescriptionBytes {
			fmt.Fprintf(&text, " and-%d-more", len(m.Signals)-i)
			break
		}
		value := strings.ReplaceAll(string(s.Value), " ", ",")
		if s.Key == coordination.SubsetKey {
			value = fmt.Sprintf("%x", s.Value)
		}
		fmt.Fprintf(&text, " %s=%s/%v#%d", s.Key, value, s.Age.Round(time.Millisecond), s.Version)
	}
	return text.String()
}
