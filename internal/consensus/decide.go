package consensus

import "slices"

// Who holds a vote, decided by the leader: pure, from what it has heard, in ticks of its own. One change is under way at
// a time, and a new voter first follows without a vote until it is even with the others.

// seen is a seat as the leader sees it.
type seen struct {
	seat
	Voter bool
	Even  bool   // it has all that is applied at the leader
	Match uint64 // the last entry it is known to have
	Quiet int    // ticks since it was heard of
}

// seatView is what is decided by.
type seatView struct {
	Self         uint64
	Seats        []seen // by number
	Joint        bool   // a change is under way
	Want         int    // voters
	ReplaceAfter int    // ticks; 0 for never
	Orders       []seatOrder
}

// seatOrder asks for a seat: an operator's replacement, or a member that comes back with a new folder. It has told its
// number, and waits.
type seatOrder struct {
	Seat  seat // For is the vote it is to get
	Force bool // an operator's: also while the old one is heard of
}

type seatDo int

// What can be done.
const (
	nothing seatDo = iota
	takeIn         // as a learner
	promote        // the learner, in place of For
	drop
	look // for a candidate that could stand in for Seat.For; 0 for one more
)

// seatStep is what to do next.
type seatStep struct {
	Do   seatDo
	Seat seat
}

const (
	learnerPatience = 40 * electionTicks // ticks that a learner may be silent
	returnPatience  = 2 * electionTicks  // ticks that the old one must be silent for a new one of its name
)

// decide is the next step, or nothing.
func decide(v seatView) seatStep {
	if v.Joint {
		return seatStep{}
	}
	voters, alive := 0, 0
	for _, s := range v.Seats {
		if s.Voter {
			if voters++; s.Quiet < returnPatience {
				alive++
			}
		}
	}
	if i := slices.IndexFunc(v.Seats, func(s seen) bool { return !s.Voter }); i >= 0 {
		l := v.Seats[i]
		old := slices.ContainsFunc(v.Seats, func(s seen) bool { return s.Voter && s.ID == l.For })
		another := slices.ContainsFunc(v.Orders, func(o seatOrder) bool { return o.Seat.Name == l.Name && o.Seat.ID != l.ID }) // its folder is lost again
		switch {
		case another, l.Quiet > learnerPatience, l.For != 0 && !old, l.For == 0 && voters >= v.Want:
			return seatStep{Do: drop, Seat: l.seat}
		case l.Even && l.Quiet < electionTicks:
			return seatStep{Do: promote, Seat: l.seat}
		}
		return seatStep{}
	}
	for _, o := range v.Orders {
		i := slices.IndexFunc(v.Seats, func(s seen) bool { return s.Voter && s.ID == o.Seat.For })
		taken := slices.ContainsFunc(v.Seats, func(s seen) bool { return s.ID == o.Seat.ID })
		if !taken && (o.Seat.For == 0 && voters < v.Want || i >= 0 && (o.Force || v.Seats[i].Quiet >= returnPatience)) {
			return seatStep{Do: takeIn, Seat: o.Seat}
		}
	}
	quietest, found := seen{}, false
	for _, s := range v.Seats {
		if s.Voter && s.ID != v.Self && (!found || s.Quiet > quietest.Quiet) {
			quietest, found = s, true
		}
	}
	switch {
	case voters > v.Want && found:
		// whoever is silent goes first; otherwise only where the rest stays above half without it
		if quietest.Quiet >= returnPatience || alive-1 > (voters-1)/2 {
			return seatStep{Do: drop, Seat: quietest.seat}
		}
	case voters < v.Want:
		return seatStep{Do: look}
	case v.ReplaceAfter > 0 && found && quietest.Quiet >= v.ReplaceAfter:
		return seatStep{Do: look, Seat: seat{For: quietest.ID}}
	}
	return seatStep{}
}
