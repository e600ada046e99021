package revision

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fingerprint encodes the part of a world that determines its further behaviour. Counters whose order alone matters are
// replaced by their rank.
type fingerprint struct {
	*world
	buf                            []byte
	epochs, terms, holdersVersions ranks
}

// ranks maps counters to their positions in the sorted list of all values that occur.
type ranks []uint64

func (r *ranks) add(counters ...uint64) { *r = append(*r, counters...) }

func (r *ranks) sort() {
	slices.Sort(*r)
	*r = slices.Compact(*r)
}

func (r ranks) rank(counter uint64) byte {
	i, _ := slices.BinarySearch(r, counter)
	return byte(i)
}

// hash returns the hash of the fingerprint. Worlds that behave alike from here on have the same hash.
func (w *world) hash() uint64 {
	f := &fingerprint{world: w, buf: make([]byte, 0, 256)}
	f.rankCounters()
	f.putState(w.state)
	for _, o := range w.state.Outcomes {
		f.buf = append(f.buf, o.Key...)
		f.put(byte(o.Number))
	}
	f.put(byte(w.leaderIndex), byte(w.ticks), byte(w.faults))
	for _, n := range w.callCounts {
		f.put(byte(n))
	}
	for i := range w.processes {
		f.putProcess(&w.processes[i])
	}
	for i := range w.delayed {
		f.putDelayed(&w.delayed[i])
	}
	return xxhash.Sum64(f.buf)
}

func (f *fingerprint) rankCounters() {
	f.rankState(f.state)
	for i := range f.processes {
		p := &f.processes[i]
		if p.appliedState != nil {
			f.rankState(p.appliedState)
		}
		f.epochs.add(p.member.epoch, p.member.stopEpoch)
		if p.leader == nil {
			continue
		}
		f.terms.add(p.leader.term)
		f.epochs.add(p.leader.stopEpoch)
		for _, x := range p.leader.holders {
			f.epochs.add(x.stoppedEpoch)
		}
	}
	for _, x := range f.delayed {
		f.epochs.add(x.reply.Epoch, x.command.Epoch, x.request.StoppedEpoch)
		f.terms.add(x.command.LeaderTerm)
		f.holdersVersions.add(x.command.HoldersVersion)
	}
	f.epochs.sort()
	f.terms.sort()
	f.holdersVersions.sort()
}

func (f *fingerprint) rankState(s *State) {
	f.epochs.add(s.Epoch)
	f.terms.add(s.LeaderTerm)
	f.holdersVersions.add(s.HoldersVersion)
}

func (f *fingerprint) put(x ...byte) { f.buf = append(f.buf, x...) }

func (f *fingerprint) putFlags(flags ...bool) {
	b := byte(0)
	for i, set := range flags {
		if set {
			b |= 1 << i
		}
	}
	f.put(b)
}

// putAge appends the age of a time in ticks, limited to the range from -4 to 4 in which it matters.
func (f *fingerprint) putAge(t time.Duration) {
	f.put(byte(min(max((f.now-t)/tickDuration, -4), 4) + 4))
}

func (f *fingerprint) putState(s *State) {
	f.put(f.epochs.rank(s.Epoch), f.terms.rank(s.LeaderTerm), f.holdersVersions.rank(s.HoldersVersion))
	f.put(byte(s.InForce().Number), byte(s.LastProposal), byte(len(s.Outcomes)))
	f.buf = append(f.buf, s.InForce().Hash...)
	for _, r := range s.Holders {
		f.put(r.Name[0], byte(r.Generation))
	}
	for i := range f.processes {
		f.put(byte(s.MinGenerations[f.processes[i].member.Holder.Name]))
	}
	if p := s.Pending; p != nil {
		f.put('p', byte(p.ID))
		f.putFlags(p.Stopped)
	}
	f.put(0xff)
}

func (f *fingerprint) putProcess(p *process) {
	m := p.member
	f.putFlags(f.delayNextCommand, p.dead, p.stopped, p.loopBlocked, p.left, m.listed, m.inForce.hasText,
		m.staged.rejection != "")
	f.putFlags(m.inForce.incompatibility != "", m.acknowledgedSeq >= m.stopSeq, m.acknowledgedSeq >= m.lease.Seq,
		p.loopLease.Seq == m.lease.Seq, p.leader != nil, p.appliedState != nil)
	f.put(byte(p.generation), byte(m.Holder.Generation), f.epochs.rank(m.epoch), f.epochs.rank(m.stopEpoch))
	f.put(byte(m.inForce.number), byte(m.staged.id), byte(m.lease.Phase), byte(m.lease.Number))
	f.put(byte(p.loopLease.Phase), byte(p.loopLease.Number))
	if m.lease.Phase == Active {
		f.putAge(m.lease.Until)
	}
	if p.loopLease.Phase == Active {
		f.putAge(p.loopLease.Until)
	}
	if p.leader == nil || p.dead {
		return
	}
	f.putLeader(p.leader)
	if p.appliedState != nil {
		f.putState(p.appliedState)
	}
}

func (f *fingerprint) putLeader(l *Leader) {
	f.put(f.terms.rank(l.term), byte(l.proposal), f.epochs.rank(l.stopEpoch))
	f.putAge(l.termStart)
	if l.proposal != 0 {
		f.putAge(l.proposalSeen)
	}
	if l.stopEpoch != 0 {
		f.putAge(l.stopSeen)
	}
	for j := range f.processes {
		for g := uint64(1); g <= f.processes[j].generation; g++ {
			x := l.holders[Holder{f.processes[j].member.Holder.Name, g}]
			if x == nil {
				continue
			}
			f.put(byte(j), byte(g), byte(x.answeredProposal), f.epochs.rank(x.stoppedEpoch))
			f.putAge(x.lastGrant)
			f.putAge(x.lastRenewal)
			f.putFlags(x.expiring, x.missedStop, x.rejection != "")
		}
	}
}

func (f *fingerprint) putDelayed(x *delayedMessage) {
	f.put('l', x.kind, byte(x.to), byte(x.from), byte(x.generation))
	f.putAge(x.requestedAt)
	f.put(byte(x.request.HasNumber), byte(x.request.AnsweredProposal), f.epochs.rank(x.request.StoppedEpoch))
	f.put(f.epochs.rank(x.reply.Epoch), byte(x.reply.Number), byte(x.reply.Proposal))
	f.putFlags(x.reply.Known, x.reply.Stopped, x.reply.Granted,
		x.kind != 'c' && x.seq > f.processes[x.from].member.ignoreUpTo,
		x.request.Rejection != "", x.reply.Text != nil, x.reply.Proposed != nil)
	f.buf = append(f.buf, x.command.Op...)
	f.buf = append(f.buf, x.command.Holder.Name...)
	f.put(f.terms.rank(x.command.LeaderTerm), f.epochs.rank(x.command.Epoch),
		f.holdersVersions.rank(x.command.HoldersVersion))
	f.put(byte(x.command.ProposalID), byte(x.command.Holder.Generation))
}
