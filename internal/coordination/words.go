package coordination

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/membership"
	"oatloft/internal/stagger"
)

// The signals that carry a balancer's words. Readings go as peers.RegionKey has them.
const (
	WordsKey = "w"
	HoldsKey = "s"
)

// Value is the words as a signal's value, without the subset.
func (w Words) Value() []byte {
	return fmt.Appendf(nil, "%d %d %.2f %d %s", w.Clock, w.SlotAge.Milliseconds(), w.Demand, w.Reference, w.Zone)
}

// mostHeld regions of a subset are told: a signal has room for no more.
const mostHeld = membership.MaxSignal / 4

// HoldsValue is the subset as a signal's value.
func (w Words) HoldsValue() []byte {
	b := make([]byte, 0, 4*len(w.Holds))
	for _, m := range w.Holds[:min(len(w.Holds), mostHeld)] {
		b = binary.BigEndian.AppendUint32(b, m)
	}
	return b
}

// Bounds of what a member may say of itself.
const (
	mostClock  = 1 << 30
	mostDemand = 1e6
	mostFleet  = 1 << 16
	mostSlot   = time.Hour
)

// Unsaid is a member's signal that no balancer would give. It counts as not said.
type Unsaid struct{ hint.Annotated }

var unsaid error = &Unsaid{hint.Annotated{What: "a member's words are not four figures and a zone", Do: "see which program or version speaks at the peers' address"}}

// parse reads the words of a member. What no balancer would say is an error.
func (m *Member) parse(value []byte, age time.Duration) error {
	f := strings.SplitN(string(value), " ", 5)
	if len(f) != 5 {
		return unsaid
	}
	clock, err := strconv.Atoi(f[0])
	slot, err2 := strconv.ParseInt(f[1], 10, 64)
	demand, err3 := strconv.ParseFloat(f[2], 64)
	ref, err4 := strconv.Atoi(f[3])
	slotAge := time.Duration(slot) * time.Millisecond
	if errors.Join(err, err2, err3, err4) != nil || clock < 0 || clock > mostClock || slot < 0 || slot > mostSlot.Milliseconds() ||
		math.IsNaN(demand) || demand < 0 || demand > mostDemand || ref < 0 || ref > mostFleet {
		return unsaid
	}
	m.Clock, m.SlotAge, m.Demand, m.Reference, m.Zone, m.Told = clock, slotAge+age, demand, ref, f[4], true
	return nil
}

// ViewOf reads a view. malformed is how many signals could not be read: they count as not said.
func ViewOf(p membership.View) (v View, malformed int) {
	v.Old, v.Known = p.Old || p.Displaced, 1+len(p.Members)
	for _, o := range p.Members {
		if o.State == membership.Gone { // a suspected one counts: most refute it, and what each drops others would take up
			continue
		}
		m := Member{Name: o.Name, Leaving: o.State == membership.Leaving}
		for _, s := range o.Signals {
			region, is := strings.CutPrefix(s.Key, membership.RegionKey)
			switch {
			case is:
				r, err := membership.ParseReading(s.Value)
				if err != nil {
					malformed++
					continue
				}
				if m.Readings == nil {
					m.Readings = map[string]stagger.Told{}
				}
				m.Readings[region] = stagger.Told{X: r.X, Age: r.Age + s.Age, Fails: r.Fails}
			case s.Key == WordsKey:
				if m.parse(s.Value, s.Age) != nil {
					malformed++
				}
			case s.Key == HoldsKey && len(s.Value)%4 == 0:
				for b := s.Value; len(b) > 0; b = b[4:] {
					m.Holds = append(m.Holds, binary.BigEndian.Uint32(b))
				}
			case s.Key == HoldsKey:
				malformed++
			}
		}
		v.Members = append(v.Members, m)
	}
	return v, malformed
}
