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

// The keys of the signals that carry a balancer's announcement. Readings have keys with the prefix
// membership.ServerKey.
const (
	AnnouncementKey = "w" // value by Announcement.Encode
	SubsetKey       = "s" // value by Announcement.EncodeSubset
)

// Announcement is what a balancer announces to the others.
type Announcement struct {
	Zone             string
	ExplorationSlots int           // number of slots so far
	SlotAge          time.Duration // since its last exploration slot began
	Demand           float64       // placements per second
	ReferenceSize    int           // fleet size by which it divides bounded budgets
	Subset           []uint32      // hashes by ServerHash
	Readings         []string      // servers whose readings it announces; all if Config.ShareReadings is off
}

// Limits of announced values.
const (
	maxExplorationSlots = 1 << 30
	maxDemand           = 1e6     // placements per second
	maxReferenceSize    = 1 << 16 // balancers
	maxSlotAge          = time.Hour
)

const (
	serverHashBytes        = 4                                      // per server in an announced subset
	maxSubsetServers       = membership.MaxSignal / serverHashBytes // as many as fit into a signal
	announcementFieldCount = 5                                      // the zone is the last and may contain spaces
)

// Encode returns the signal value of the announcement, without subset and readings.
func (a Announcement) Encode() []byte {
	return fmt.Appendf(nil, "%d %d %.2f %d %s",
		a.ExplorationSlots, a.SlotAge.Milliseconds(), a.Demand, a.ReferenceSize, a.Zone)
}

// EncodeSubset returns the signal value of the subset. Servers beyond the first maxSubsetServers are left out.
func (a Announcement) EncodeSubset() []byte {
	value := make([]byte, 0, serverHashBytes*len(a.Subset))
	for _, hash := range a.Subset[:min(len(a.Subset), maxSubsetServers)] {
		value = binary.BigEndian.AppendUint32(value, hash)
	}
	return value
}

// MalformedAnnouncement is returned for a signal that no balancer sends. The signal is ignored.
type MalformedAnnouncement struct{ hint.Annotated }

var errMalformedAnnouncement error = &MalformedAnnouncement{hint.Annotated{
	What: "a member's announcement is not four numbers in range and a zone, or its subset is not whole hashes",
	Do:   "check which program or version sends to the peers address",
}}

// decode parses the announcement in a signal's value into m. age is the age of the signal. The error is
// *MalformedAnnouncement.
func (m *Member) decode(value []byte, age time.Duration) error {
	fields := strings.SplitN(string(value), " ", announcementFieldCount)
	if len(fields) != announcementFieldCount {
		return errMalformedAnnouncement
	}
	slots, slotsErr := strconv.Atoi(fields[0])
	slotAge, ageErr := strconv.ParseInt(fields[1], 10, 64)
	demand, demandErr := strconv.ParseFloat(fields[2], 64)
	reference, referenceErr := strconv.Atoi(fields[3])
	switch {
	case errors.Join(slotsErr, ageErr, demandErr, referenceErr) != nil,
		slots < 0 || slots > maxExplorationSlots,
		slotAge < 0 || slotAge > maxSlotAge.Milliseconds(),
		math.IsNaN(demand) || demand < 0 || demand > maxDemand,
		reference < 0 || reference > maxReferenceSize:
		return errMalformedAnnouncement
	}
	m.ExplorationSlots = slots
	m.SlotAge = time.Duration(slotAge)*time.Millisecond + age
	m.Demand = demand
	m.ReferenceSize = reference
	m.Zone = fields[4]
	m.Reported = true
	return nil
}

// decodeSubset parses the subset in a signal's value into m. The error is *MalformedAnnouncement.
func (m *Member) decodeSubset(value []byte) error {
	if len(value)%serverHashBytes != 0 {
		return errMalformedAnnouncement
	}
	for ; len(value) > 0; value = value[serverHashBytes:] {
		m.Subset = append(m.Subset, binary.BigEndian.Uint32(value))
	}
	return nil
}

// decodeReading parses the reading of a server in a signal's value into m. The error is
// *membership.MalformedMessage.
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

// ParseView parses the announcements in a membership view. malformed is the number of signals that could not be parsed
// and were ignored.
func ParseView(membershipView membership.View) (v View, malformed int) {
	v.Stale, v.Known = membershipView.Stale || membershipView.Superseded, 1+len(membershipView.Members)
	for _, other := range membershipView.Members {
		if other.State == membership.Gone { // suspects stay listed: most refute the suspicion
			continue
		}
		m := Member{Name: other.Name, Leaving: other.State == membership.Leaving}
		for _, signal := range other.Signals {
			if m.decodeSignal(signal) != nil {
				malformed++
			}
		}
		v.Members = append(v.Members, m)
	}
	return v, malformed
}

// decodeSignal parses a signal into m. Signals with other keys than a coordinator's are ignored.
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
