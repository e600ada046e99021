package consensus

import (
	"fmt"
	"os"
	"slices"
)

// injectFault injects a random fault into the cluster, or ends one.
func (s *simulation) injectFault() {
	m := s.members[s.rng.IntN(len(s.members))]
	switch s.rng.IntN(14) {
	case 0, 1:
		s.kill(m)
		m.senders = nil // it is down until started by a later fault or by heal
	case 2, 3, 4:
		if m.store == nil && m.senders == nil {
			m.diskFull = false
			s.start(m)
		}
	case 5:
		if m.store != nil && s.mayLoseFolder() {
			s.kill(m)
			m.diskFull = false
			if err := os.RemoveAll(m.cfg.Folder); err != nil {
				s.t.Fatal(err)
			}
			s.lostFolders++
			s.start(m)
		}
	case 6:
		m.diskFull = !m.diskFull
	case 7:
		m.stopped = !m.stopped && m.store != nil
	case 8, 9:
		clear(s.partitioned)
	case 10:
		for range 3 {
			s.partitioned[[2]int{s.rng.IntN(len(s.members)), s.rng.IntN(len(s.members))}] = true
		}
	case 11:
		for i := range s.members {
			for j := range s.members {
				if i%2 != j%2 {
					s.partitioned[[2]int{i, j}] = true
				}
			}
		}
	case 12:
		s.lossPercent = s.rng.IntN(30)
	case 13:
		for _, m := range s.members {
			if s.rng.IntN(2) == 0 {
				s.kill(m)
				m.diskFull = false
				s.start(m)
			}
		}
	}
}

// heal ends all faults, waits until all voters have a last entry, and checks that they have all committed entries.
func (s *simulation) heal() {
	clear(s.partitioned)
	s.lossPercent = 0
	for _, m := range s.members {
		m.diskFull, m.stopped = false, false
		if m.store == nil && m.senders == nil {
			s.start(m)
		}
	}
	s.lastEntry++
	lastEntry := fmt.Sprint("line ", s.lastEntry)
	for round := 0; ; round++ {
		s.step()
		if !s.committed[lastEntry] && round%20 == 0 {
			s.proposeAtLeaders(lastEntry)
		}
		if s.committed[lastEntry] && s.allVotersHave(lastEntry) {
			break
		}
		if round > 2500 {
			s.logState()
			s.t.Fatalf("voters did not converge after the last fault; last entry committed: %v", s.committed[lastEntry])
		}
	}
	for _, m := range s.voters() {
		for entry := range s.committed {
			if !m.machine.contains[entry] {
				s.t.Fatalf("%s has lost %q, which was reported as committed", m.cfg.Name, entry)
			}
		}
	}
}

// voters returns the running members that are voters according to the entries they have applied.
func (s *simulation) voters() (list []*simulatedMember) {
	for _, m := range s.members {
		if m.replica != nil && slices.Contains(m.replica.conf.GetVoters(), m.store.header.ID) {
			list = append(list, m)
		}
	}
	return list
}

// proposeAtLeaders proposes an entry to all members that consider themselves the leader.
func (s *simulation) proposeAtLeaders(entry string) {
	for _, m := range s.members {
		if m.replica != nil && m.replica.isLeader() {
			request := pendingRequest{outcome: make(waiter, 1), member: m, machine: m.machine, entry: entry}
			m.replica.propose([]byte(entry), request.outcome)
			s.requests = append(s.requests, request)
			s.advance(m)
		}
	}
}

// allVotersHave reports whether the number of voters is as configured and all of them have applied the entry.
func (s *simulation) allVotersHave(entry string) bool {
	voters := s.voters()
	return len(voters) == s.members[0].cfg.Voters &&
		!slices.ContainsFunc(voters, func(m *simulatedMember) bool { return !m.machine.contains[entry] })
}

// logState logs the state of all members.
func (s *simulation) logState() {
	for _, m := range s.members {
		if m.replica == nil {
			s.t.Logf("%s is not running: %+v", m.cfg.Name, m.store)
			continue
		}
		s.t.Logf("%s id %x of %x: applied %d, term %d, conf %v, requests %v, leader %x, members %v",
			m.cfg.Name, m.store.header.ID, m.store.header.Bootstrap.ID, m.replica.applied, m.replica.term,
			m.replica.conf, m.replica.requests, m.replica.softState.Lead, m.replica.members)
	}
}

// mayLoseFolder reports whether a folder may be deleted without losing committed entries: no change is pending, and
// all of at least three voters run and are up to date.
func (s *simulation) mayLoseFolder() bool {
	var latest *simulatedMember
	for _, m := range s.members {
		if m.replica != nil && (latest == nil || m.replica.applied > latest.replica.applied) {
			latest = m
		}
	}
	if latest == nil || len(latest.replica.conf.GetVotersOutgoing()) > 0 ||
		len(latest.replica.conf.GetVoters()) < latest.cfg.Voters {
		return false
	}
	upToDate := 0
	for _, id := range latest.replica.conf.GetVoters() {
		for _, m := range s.members {
			if m.replica != nil && m.store.header.ID == id && m.replica.applied+2 >= latest.replica.applied {
				upToDate++
			}
		}
	}
	return upToDate >= 3 && upToDate == len(latest.replica.conf.GetVoters()) // a single voter could not recover
}
