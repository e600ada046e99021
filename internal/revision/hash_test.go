package revision

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fingerprint collects what tells worlds apart that can go on differently. Counters that are only compared go in by
// rank.
type fingerprint struct {
	*world
	buf                   []byte
	epochs, terms, roster ranks
}

// ranks maps counters to their place in the order of all that occur.
type ranks []uint64

func (r *ranks) add(counters ...uint64) { *r = append(*r, counters...) }

func (r *ranks) sort() {
	slices.Sort(*r)
	*r = slices.Compact(*r)
}

func (r ranks) of(counter uint64) byte {
	i, _ := slices.BinarySearch(r, counter)
	return byte(i)
}

// hash tells worlds apart that can go on differently.
func (w *world) hash() uint64 {
	f := &fingerprint{world: w, buf: make([]byte, 0, 256)}
	f.rankCounters()
	f.putState(w.s)
	for _, o := range w.s.Outcomes {
		f.buf = append(f.buf, o.Key...)
		f.put(byte(o.Number))
	}
	f.put(byte(w.lead), byte(w.ticks), byte(w.faults))
	for _, n := range w.handed {
		f.put(byte(n))
	}
	for i := range w.procs {
		f.putProcess(&w.procs[i])
	}
	for i := range w.late {
		f.putLate(&w.late[i])
	}
	return xxhash.Sum64(f.buf)
}

func (f *fingerprint) rankCounters() {
	f.rankState(f.s)
	for i := range f.procs {
		p := &f.procs[i]
		if p.st != nil {
			f.rankState(p.st)
		}
		f.epochs.add(p.m.epoch, p.m.stopEpoch)
		if p.leader == nil {
			continue
		}
		f.terms.add(p.leader.term)
		f.epochs.add(p.leader.stopEpoch)
		for _, x := range p.leader.holders {
			f.epochs.add(x.stoppedEpoch)
		}
	}
	for _, x := range f.late {
		f.epochs.add(x.reply.Epoch, x.cmd.Epoch, x.renew.StoppedEpoch)
		f.terms.add(x.cmd.LeaderTerm)
		f.roster.add(x.cmd.HoldersVersion)
	}
	f.epochs.sort()
	f.terms.sort()
	f.roster.sort()
}

func (f *fingerprint) rankState(s *State) {
	f.epochs.add(s.Epoch)
	f.terms.add(s.LeaderTerm)
	f.roster.add(s.HoldersVersion)
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

// putAgo puts how many ticks ago a time was, within the bounds in which it matters.
func (f *fingerprint) putAgo(t time.Duration) { f.put(byte(min(max((f.now-t)/unit, -4), 4) + 4)) }

func (f *fingerprint) putState(s *State) {
	f.put(f.epochs.of(s.Epoch), f.terms.of(s.LeaderTerm), f.roster.of(s.HoldersVersion))
	f.put(byte(s.InForce().Number), byte(s.LastProposal), byte(len(s.Outcomes)))
	f.buf = append(f.buf, s.InForce().Hash...)
	for _, r := range s.Holders {
		f.put(r.Name[0], byte(r.Generation))
	}
	for i := range f.procs {
		f.put(byte(s.MinGenerations[f.procs[i].m.Holder.Name]))
	}
	if p := s.Pending; p != nil {
		f.put('p', byte(p.ID))
		f.putFlags(p.Stopped)
	}
	f.put(0xff)
}

func (f *fingerprint) putProcess(p *proc) {
	m := p.m
	f.putFlags(f.slowLog, p.dead, p.stopped, p.slow, p.left, m.listed, m.inForce.hasText, m.staged.rejection != "")
	f.putFlags(m.inForce.incompatibility != "", m.acknowledged >= m.stopSeq, m.acknowledged >= m.lease.Seq,
		p.loop.Seq == m.lease.Seq, p.leader != nil, p.st != nil)
	f.put(byte(p.gen), byte(m.Holder.Generation), f.epochs.of(m.epoch), f.epochs.of(m.stopEpoch))
	f.put(byte(m.inForce.number), byte(m.staged.id), byte(m.lease.Phase), byte(m.lease.Number))
	f.put(byte(p.loop.Phase), byte(p.loop.Number))
	if m.lease.Phase == Active {
		f.putAgo(m.lease.Until)
	}
	if p.loop.Phase == Active {
		f.putAgo(p.loop.Until)
	}
	if p.leader == nil || p.dead {
		return
	}
	f.putLeader(p.leader)
	if p.st != nil {
		f.putState(p.st)
	}
}

func (f *fingerprint) putLeader(l *Leader) {
	f.put(f.terms.of(l.term), byte(l.proposal), f.epochs.of(l.stopEpoch))
	f.putAgo(l.termBegan)
	if l.proposal != 0 {
		f.putAgo(l.proposalSeen)
	}
	if l.stopEpoch != 0 {
		f.putAgo(l.stopSeen)
	}
	for j := range f.procs {
		for g := uint64(1); g <= f.procs[j].gen; g++ {
			x := l.holders[Holder{f.procs[j].m.Holder.Name, g}]
			if x == nil {
				continue
			}
			f.put(byte(j), byte(g), byte(x.answeredProposal), f.epochs.of(x.stoppedEpoch))
			f.putAgo(x.lastGrant)
			f.putAgo(x.lastRenewal)
			f.putFlags(x.expiring, x.missedStop, x.rejection != "")
		}
	}
}

func (f *fingerprint) putLate(x *late) {
	f.put('l', x.kind, byte(x.to), byte(x.from), byte(x.gen))
	f.putAgo(x.asked)
	f.put(byte(x.renew.HasNumber), byte(x.renew.AnsweredProposal), f.epochs.of(x.renew.StoppedEpoch))
	f.put(f.epochs.of(x.reply.Epoch), byte(x.reply.Number), byte(x.reply.Proposal))
	f.putFlags(x.reply.Known, x.reply.Stopped, x.reply.Granted, x.kind != 'c' && x.seq > f.procs[x.from].m.ignoreUpTo,
		x.renew.Rejection != "", x.reply.Text != nil, x.reply.Proposed != nil)
	f.buf = append(f.buf, x.cmd.Op...)
	f.buf = append(f.buf, x.cmd.Holder.Name...)
	f.put(f.terms.of(x.cmd.LeaderTerm), f.epochs.of(x.cmd.Epoch), f.roster.of(x.cmd.HoldersVersion))
	f.put(byte(x.cmd.ProposalID), byte(x.cmd.Holder.Generation))
}
