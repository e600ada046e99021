// Package edgeconfig reads the compiled form of the edge settings, deploy/edge.cue. It declares the records and their
// units. It fills in no defaults: the schema does (internal/edgeconfigcue), so that the file given to a balancer
// contains all settings that the balancer runs with.
package edgeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/hint"
	"oatloft/internal/membership"
)

// Form is the version of the compiled form. A file of another version is rejected.
const Form = 1

// MaxBytes is the maximum length of a compiled file, in bytes.
const MaxBytes = 4 << 20

// Settings is the content of an edge file. A section that is nil is disabled.
type Settings struct {
	Form      int        `json:"oatloft_edge"`
	Source    string     `json:"source"` // name of the file it was compiled from
	Admission *Admission `json:"admission"`
	Peers     *Peers     `json:"peers,omitempty"`
	Numbered  *Numbered  `json:"numbered,omitempty"`
	Revisions *Revisions `json:"revisions,omitempty"`
	Links     *Links     `json:"links,omitempty"`
}

// Revisions is the section of internal/consensus and internal/revision: one routing revision for all balancers.
type Revisions struct {
	Cluster      string            `json:"cluster"`
	Listen       string            `json:"listen"`  // TCP address for calls between members
	Members      []Candidate       `json:"members"` // members that may hold a vote; same list and order at all of them
	Voters       int               `json:"voters"`  // number of voters among the members, spread over the zones
	Reach        map[string]string `json:"reach"`   // addresses to call instead of the members' own, by name
	Folder       string            `json:"folder"`  // of a voter's log
	Lease        Duration          `json:"lease"`   // duration of a lease to place new clients, from when it was requested
	OnCut        string            `json:"on_cut"`  // refuse, hold
	Deadline     Duration          `json:"deadline"`
	ReplaceAfter Duration          `json:"replace_after"` // a voter absent for this long loses its vote; 0 for never
	History      int               `json:"history"`
	HistoryBytes Size              `json:"history_bytes"`
}

// Candidate is a member that may hold a vote.
type Candidate struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Links is the section of internal/bandwidth, which divides the bandwidth between zones among the balancers. The
// table of links is part of a revision.
type Links struct {
	SafePart float64  `json:"safe_part"` // fraction of a link that all balancers together may use without a grant
	Lease    Duration `json:"lease"`     // duration of a grant beyond the safe part
	Buffer   Size     `json:"buffer"`    // maximum read ahead from one sender that is throttled
}

// Numbered is the section of a balancer that does not communicate with others, and coordinates by its number and the
// number of balancers in the settings.
type Numbered struct {
	Number int `json:"number"` // below 0: the number at the end of the balancer's name
	Subset int `json:"subset"` // number of servers of other zones that it observes; 0 for all
}

// Peers is the section of internal/membership: balancers that exchange their state.
type Peers struct {
	Cluster     string            `json:"cluster"`
	Listen      string            `json:"listen"`
	Advertise   string            `json:"advertise"` // address at which the others reach this balancer; Listen if ""
	Join        []string          `json:"join"`
	Reach       map[string]string `json:"reach"`
	SilentAfter Duration          `json:"silent_after"`
	MaxMembers  int               `json:"max_members"`
	SignalBytes Size              `json:"signal_bytes"`
	SignalEvery Duration          `json:"signal_every"`
	SignalLife  Duration          `json:"signal_life"`
	Subset      int               `json:"subset"` // number of servers that this balancer observes itself; 0 for all
	Readings    bool              `json:"readings"`
	Turns       bool              `json:"turns"`
}

// Config returns the membership settings of the balancer with this name. The host sets the generation.
func (p *Peers) Config(name string) (membership.Config, error) {
	c := membership.Config{
		Cluster:     p.Cluster,
		Name:        name,
		Addr:        p.Advertise,
		Join:        p.Join,
		Routes:      p.Reach,
		PeerTimeout: time.Duration(p.SilentAfter),
		MaxMembers:  p.MaxMembers,
		SignalBytes: int(p.SignalBytes),
		Generation:  1,
	}
	if c.Addr == "" {
		c.Addr = p.Listen
	}
	switch {
	case p.SignalEvery < Duration(50*time.Millisecond):
		return c, &InvalidSetting{
			hint.Annotated{
				Where: "peers.signal_every",
				What:  fmt.Sprintf("%v is under 50ms", time.Duration(p.SignalEvery)),
				Do:    "set it to 50ms or more",
			},
		}
	case p.Subset < 0 || p.Subset > 128:
		return c, &InvalidSetting{
			hint.Annotated{
				Where: "peers.subset",
				What:  fmt.Sprintf("%d is outside 0 to 128", p.Subset),
				Do:    "set it to 1 to 128 servers, or to 0 for all",
			},
		}
	case p.SignalLife < 2*p.SignalEvery:
		return c, &InvalidSetting{
			hint.Annotated{
				Where: "peers.signal_life",
				What:  fmt.Sprintf("%v is under twice signal_every, %v", time.Duration(p.SignalLife), time.Duration(p.SignalEvery)),
				Do:    "increase it, or decrease signal_every",
			},
		}
	}
	return c, c.Validate()
}

// Admission is the section of internal/admission.
type Admission struct {
	Address struct {
		MaxConnections int      `json:"max_connections"`
		MaxSilent      int      `json:"max_silent"`
		NewPerSecond   float64  `json:"new_per_second"`
		Burst          int      `json:"burst"`
		MaxBytes       Size     `json:"max_bytes"`
		ShortPatience  Duration `json:"short_patience"`
		IPv6Prefix     int      `json:"ipv6_prefix"`
		Table          int      `json:"table"`
		Exempt         []string `json:"exempt"`
	} `json:"address"`
	Network struct {
		IPv4Prefix   int     `json:"ipv4_prefix"`
		IPv6Prefix   int     `json:"ipv6_prefix"`
		NewPerSecond float64 `json:"new_per_second"`
		Burst        int     `json:"burst"`
		MaxShare     float64 `json:"max_share"`
		Table        int     `json:"table"`
	} `json:"network"`
	Reserve struct {
		Identity      string   `json:"identity"`
		KnownShare    float64  `json:"known_share"`
		StandFor      Duration `json:"stand_for"`
		RememberFor   Duration `json:"remember_for"`
		Max           int      `json:"max"`
		MaxPerNetwork int      `json:"max_per_network"`
		MaxPerClient  int      `json:"max_per_client"`
		MuteFor       Duration `json:"mute_for"`
		Snapshot      struct {
			Path   string   `json:"path"`
			Every  Duration `json:"every"`
			MaxAge Duration `json:"max_age"`
		} `json:"snapshot"`
	} `json:"reserve"`
	Descriptors struct {
		SilentShare float64 `json:"silent_share"`
		Overhead    int     `json:"overhead"`
		GoodByes    int     `json:"good_byes"`
		Tight       float64 `json:"tight"`
		Short       float64 `json:"short"`
		Full        float64 `json:"full"`
		Hysteresis  float64 `json:"hysteresis"`
	} `json:"descriptors"`
	Memory struct {
		Base        Size    `json:"base"`
		Silent      Size    `json:"silent"`
		Transaction Size    `json:"transaction"`
		MaxShare    float64 `json:"max_share"`
	} `json:"memory"`
	ComeBack struct {
		Advise    bool     `json:"advise"`
		PerSecond float64  `json:"per_second"`
		Least     Duration `json:"least"`
		Most      Duration `json:"most"`
	} `json:"come_back"`
}

// Duration is a duration in Go's notation, "1.5s"; in JSON a string.
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return &InvalidSetting{
			hint.Annotated{
				What: fmt.Sprintf("%q is not a duration such as \"250ms\"", b),
				Do:   "write a number with its unit: ms, s, m, h",
			},
		}
	}
	*d = Duration(x)
	return nil
}

// MarshalText formats the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is a number of bytes, "16KiB"; in JSON a string.
type Size int64

var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText parses a size.
func (s *Size) UnmarshalText(b []byte) error {
	for _, u := range sizeUnits {
		if number, ok := strings.CutSuffix(string(b), u.unit); ok {
			n, err := strconv.ParseInt(number, 10, 32)
			if err != nil || n < 0 {
				break
			}
			*s = Size(n * u.bytes)
			return nil
		}
	}
	return &InvalidSetting{
		hint.Annotated{
			What: fmt.Sprintf("%q is not a size such as \"16KiB\"", b),
			Do:   "write a whole number with its unit: B, KiB, MiB, GiB",
		},
	}
}

// MarshalText formats the size in the largest unit that divides it.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range sizeUnits {
		if int64(s)%u.bytes == 0 && (s != 0 || u.bytes == 1) {
			return []byte(strconv.FormatInt(int64(s)/u.bytes, 10) + u.unit), nil
		}
	}
	return nil, nil
}

// Load reads the compiled file at path. An error is a single line with the file and the field.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &Unreadable{
			hint.Annotated{
				Where: "edge",
				Cause: err,
				Do:    "set --edge (PROXY_EDGE) to a file that this balancer can read",
			},
		}
	}
	defer func() { _ = f.Close() }()
	body := make([]byte, MaxBytes+1)
	n := 0
	for n < len(body) {
		k, err := f.Read(body[n:])
		if n += k; err != nil {
			break
		}
	}
	if n > MaxBytes {
		return nil, &Unreadable{
			hint.Annotated{Where: "edge: " + path, What: fmt.Sprintf("longer than %d bytes", MaxBytes), Do: recompileHint},
		}
	}
	s, err := Parse(body[:n])
	if err != nil {
		return nil, &Unreadable{hint.Annotated{Where: "edge: " + path, Cause: err, Do: recompileHint}}
	}
	return s, nil
}

// Parse reads the text of a compiled file.
func Parse(body []byte) (*Settings, error) {
	s := &Settings{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, &Unreadable{hint.Annotated{What: "not a compiled edge file", Cause: err, Do: recompileHint}}
	}
	if s.Form != Form {
		return nil, &Unreadable{
			hint.Annotated{
				Where: "oatloft_edge",
				What:  fmt.Sprintf("form %d; this program reads %d", s.Form, Form),
				Do:    recompileHint,
			},
		}
	}
	if d.More() {
		return nil, &Unreadable{hint.Annotated{What: "unexpected data after the settings", Do: recompileHint}}
	}
	// A field that the file leaves out would be zero here. Comparing with the settings encoded again finds it.
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var have, want any
	_ = json.Unmarshal(body, &have)
	_ = json.Unmarshal(encoded, &want)
	if field := missingField(want, have, ""); field != "" {
		return nil, &Unreadable{hint.Annotated{Where: field, What: "missing", Do: recompileHint}}
	}
	if s.Admission != nil {
		c, err := s.Admission.Config()
		if err != nil {
			return nil, err
		}
		if _, err := admission.New(c, 0); err != nil {
			return nil, err
		}
	}
	if s.Peers != nil {
		if _, err := s.Peers.Config("any"); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// missingField returns the path of the first field of want that have lacks, or "".
func missingField(want, have any, at string) string {
	w, ok := want.(map[string]any)
	if !ok {
		return ""
	}
	h, _ := have.(map[string]any)
	names := make([]string, 0, len(w))
	for name := range w {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		path := strings.TrimPrefix(at+"."+name, ".")
		got, ok := h[name]
		if !ok {
			return path
		}
		if field := missingField(w[name], got, path); field != "" {
			return field
		}
	}
	return ""
}

var identities = map[string]admission.Identity{
	"flow":        admission.ByFlow,
	"tenant+flow": admission.ByTenantAndFlow,
	"address":     admission.ByAddress,
}

// Config returns the settings of the admission module. Tenants, and whether clients follow hints, are not in the edge
// file: the host adds them.
func (a *Admission) Config() (admission.Config, error) {
	c := admission.Config{
		Address: admission.Address{MaxConnections: a.Address.MaxConnections, MaxSilent: a.Address.MaxSilent,
			NewPerSecond: a.Address.NewPerSecond, Burst: a.Address.Burst, MaxBytes: int(a.Address.MaxBytes),
			FirstLineTimeout: time.Duration(a.Address.ShortPatience), Prefix6: a.Address.IPv6Prefix, Table: a.Address.Table},
		Network: admission.Network{Prefix4: a.Network.IPv4Prefix, Prefix6: a.Network.IPv6Prefix,
			NewPerSecond: a.Network.NewPerSecond, Burst: a.Network.Burst, MaxShare: a.Network.MaxShare, Table: a.Network.Table},
		Reserve: admission.Reserve{KnownShare: a.Reserve.KnownShare, EstablishedFor: time.Duration(a.Reserve.StandFor),
			RememberFor: time.Duration(a.Reserve.RememberFor), Max: a.Reserve.Max, MaxPerNetwork: a.Reserve.MaxPerNetwork,
			MaxPerClient: a.Reserve.MaxPerClient, MuteFor: time.Duration(a.Reserve.MuteFor)},
		Descriptors: admission.Descriptors{SilentShare: a.Descriptors.SilentShare, Overhead: a.Descriptors.Overhead,
			Tight: a.Descriptors.Tight, Short: a.Descriptors.Short, Full: a.Descriptors.Full,
			Hysteresis: a.Descriptors.Hysteresis},
		Memory: admission.Memory{Base: int64(a.Memory.Base), Silent: int64(a.Memory.Silent),
			Request: int64(a.Memory.Transaction), MaxShare: a.Memory.MaxShare},
		RetrySchedule: admission.RetrySchedule{Enabled: a.ComeBack.Advise, PerSecond: a.ComeBack.PerSecond,
			Min: time.Duration(a.ComeBack.Least), Max: time.Duration(a.ComeBack.Most)},
	}
	var ok bool
	if c.Reserve.Identity, ok = identities[a.Reserve.Identity]; !ok {
		return c, &InvalidSetting{
			hint.Annotated{
				Where: "admission.reserve.identity",
				What:  fmt.Sprintf("%q is not one of flow, tenant+flow, address", a.Reserve.Identity),
				Do:    "set one of the three",
			},
		}
	}
	if a.Descriptors.GoodByes < 0 {
		return c, &InvalidSetting{
			hint.Annotated{Where: "admission.descriptors.good_byes", What: "negative", Do: "set it to 0 or more"},
		}
	}
	for i, text := range a.Address.Exempt {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return c, &InvalidSetting{
				hint.Annotated{
					Where: fmt.Sprintf("admission.address.exempt[%d]", i),
					What:  fmt.Sprintf("%q is not a network such as 10.0.0.0/8", text),
					Do:    "write address/bits",
				},
			}
		}
		c.Exempt = append(c.Exempt, p.Masked())
	}
	return c, nil
}

// InvalidSetting is the error of an invalid value in the edge file.
type InvalidSetting struct{ hint.Annotated }

// Unreadable is the error of a compiled file that cannot be read, or does not have the form that this version of the
// program reads.
type Unreadable struct{ hint.Annotated }

const recompileHint = "compile the settings with oatctl edge compile of this version, and use the resulting file"
