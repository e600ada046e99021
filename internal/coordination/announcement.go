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

// The signals that carry a balancer's announcement. Readings go under membership.RegionKey.
const (
	AnnouncementKey = "w"
	SubsetKey       = "s"
)

// Announcement is what a balancer tells the others of itself.
type Announcement struct {
	Zone             string
	ExplorationSlots int
	SlotAge          time.Duration
	Demand           float64 // choices per second
	ReferenceSize    int
	Subset           []uint32 // by ServerHash
	Readings         []string // servers whose readings are to be sent; all if readings are not shared
}

// Limits of what a member may announce.
const (
	maxExplorationSlots = 1 << 30
	maxDemand           = 1e6
	maxReferenceSize    = 1 << 16
	maxSlotAge          = time.Hour
)

const (
	hashBytes          = 4                                // of a server in an announced subset
	maxSubset          = membership.MaxSignal / hashBytes // a signal has no room for more
	announcementFields = 5                                // of an announcement, the last of which is the zone
)

// Encode returns the announcement as a signal's value, without the subset.
func (a Announcement) Encode() []byte {
	return fmt.Appendf(nil, "%d %d %.2f %d %s",
		a.ExplorationSlots, a.SlotAge.Milliseconds(), a.Demand, a.ReferenceSize, a.Zone)
}

// EncodeSubset returns the subset as a signal's value.
func (a Announcement) EncodeSubset() []byte {
	value := make([]byte, 0, hashBytes*len(a.Subset))
	for _, hash := range a.Subset[:min(len(a.Subset), maxSubset)] {
		value = binary.BigEndian.AppendUint32(value, hash)
	}
	return value
}

// MalformedAnnouncement is the error that a member's signal is none that a balancer would send. It counts as not
// sent.
type MalformedAnnouncement struct{ hint.Annotated }

var errMalformed error = &MalformedAnnouncement{hint.Annotated{
	What: "a member's words are not four figures and a zone",
	Do:   "see which program or version speaks at the peers' address",
}}

// decode sets what the value of a member's announcement of some age says. The error is *MalformedAnnouncement.
func (m *Member) decode(value []byte, age time.Duration) error {
	words := strings.SplitN(string(value), " ", announcementFields)
	if len(words) != announcementFields {
		return errMalformed
	}
	slots, slotsErr := strconv.Atoi(words[0])
	slotAge, ageErr := strconv.ParseInt(words[1], 10, 64)
	demand, demandErr := strconv.ParseFloat(words[2], 64)
	reference, referenceErr := strconv.Atoi(words[3])
	switch {
	case errors.Join(slotsErr, ageErr, demandErr, referenceErr) != nil,
		slots < 0 || slots > maxExplorationSlots,
		slotAge < 0 || slotAge > maxSlotAge.Milliseconds(),
		math.IsNaN(demand) || demand < 0 || demand > maxDemand,
		reference < 0 || reference > maxReferenceSize:
		return errMalformed
	}
	m.ExplorationSlots = slots
	m.SlotAge = time.Duration(slotAge)*time.Millisecond + age
	m.Demand = demand
	m.ReferenceSize = reference
	m.Zone = words[4]
	m.Reported = true
	return nil
}

// decodeSubset sets the subset that a signal's value lists. The error is *MalformedAnnouncement.
func (m *Member) decodeSubset(value []byte) error {
	if len(value)%hashBytes != 0 {
		return errMalformed
	}
	for ; len(value) > 0; value = value[hashBytes:] {
		m.Subset = append(m.Subset, binary.BigEndian.Uint32(value))
	}
	return nil
}

// decodeReading sets the member's reading of a server.
func (m *Member) decodeReading(server string, value []byte, age time.Duration) error {
	reading, err := membership.ParseReading(value)
	if err != nil {
		return err
	}
	if m.Readings == nil {
		m.Readings = map[string]stagger.Report{}
	}
	m.Readings[server] = stagger.Report{Load: reading.Load, Age: reading.Age + age, FailedProbes: reading.FailedProbes}
	return nil
}

// ParseView reads the announcements of a membership view. malformed is how many signals could not be read; they
// count as not sent.
func ParseView(p membership.View) (v View, malformed int) {
	v.Stale, v.Known = p.Stale || p.Superseded, 1+len(p.Members)
	for _, listed := range p.Members {
		if listed.State == membership.Gone { // a suspected member counts: most refute it
			continue
		}
		m := Member{Name: listed.Name, Leaving: listed.State == membership.Leaving}
		for _, signal := range listed.Signals {
			if m.decodeSignal(signal) != nil {
				malformed++
			}
		}
		v.Members = append(v.Members, m)
	}
	return v, malformed
}

// decodeSignal sets what a signal says; other signals than a coordinator's are passed over.
func (m *Member) decodeSignal(signal membership.SignalView) error {
	if server, ok := strings.CutPrefix(signal.Key, membership.ServerKey); ok {
		return m.decodeReading(server, signal.Value, signal.Age)
	}
	switch signal.Key {
	case AnnouncementKey:
		return m.decode(signal.Value, signal.Age)
	case SubsetKey:
		return m.decodeSubset(signal.Value)
	}
	return nil
}
