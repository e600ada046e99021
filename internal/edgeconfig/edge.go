// Package edgeconfig reads the compiled form of our own settings, deploy/edge.cue. It owns the records and their
// units; it must never fill in a default: those are the schema's (internal/edgeconfigcue), so that what a balancer
// runs on is all written in the file that it was given.
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

// Form is the version of the compiled form. A file of another is refused.
const Form = 1

// Most is how long a compiled file may be, in bytes.
const Most = 4 << 20

// Settings are all that an edge file holds. A section that is nil is switched off.
type Settings struct {
	Form      int        `json:"oatloft_edge"`
	Source    string     `json:"source"` // what it was compiled from
	Admission *Admission `json:"admission"`
	Peers     *Peers     `json:"peers,omitempty"`
	Numbered  *Numbered  `json:"numbered,omitempty"`
	Revisions *Revisions `json:"revisions,omitempty"`
	Links     *Links     `json:"links,omitempty"`
}

// Revisions is the section of internal/consensus and internal/revision: one routing revision for all.
type Revisions struct {
	Cluster      string            `json:"cluster"`
	Listen       string            `json:"listen"`  // TCP; where members talk of revisions
	Members      []Candidate       `json:"members"` // who may hold a vote, the same list in the same order at all
	Voters       int               `json:"voters"`  // of these, drawn over the zones
	Reach        map[string]string `json:"reach"`   // by name, where to call in place of the member's address
	Folder       string            `json:"folder"`  // of a voter's log
	Lease        Duration          `json:"lease"`   // a permission to route newcomers lasts so long after it was asked for
	OnCut        string            `json:"on_cut"`  // refuse, hold
	Deadline     Duration          `json:"deadline"`
	ReplaceAfter Duration          `json:"replace_after"` // a voter gone for so long loses its vote; 0 for never
	History      int               `json:"history"`
	HistoryBytes Size              `json:"history_bytes"`
}

// Candidate is a member that may hold a vote.
type Candidate struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Links is the section of internal/bandwidth: bytes between zones, divided among the balancers. The table of links
// is a revision's.
type Links struct {
	SafePart float64  `json:"safe_part"` // of a link, for all balancers together, that each has its part of without asking
	Lease    Duration `json:"lease"`     // of what is had beyond
	Buffer   Size     `json:"buffer"`    // most that is read ahead of one sender that is held back
}

// Numbered is the section of a balancer that talks to no other, and goes by its number and the settings' count.
type Numbered struct {
	Number int `json:"number"` // below 0: the figure that its name ends in
	Subset int `json:"subset"` // regions of other zones that it looks at; 0 for all
}

// Peers is the section of internal/membership: balancers that know of each other.
type Peers struct {
	Cluster     string            `json:"cluster"`
	Listen      string            `json:"listen"`
	Advertise   string            `json:"advertise"` // where the others reach it; Listen if ""
	Join        []string          `json:"join"`
	Reach       map[string]string `json:"reach"`
	SilentAfter Duration          `json:"silent_after"`
	MaxMembers  int               `json:"max_members"`
	SignalBytes Size              `json:"signal_bytes"`
	SignalEvery Duration          `json:"signal_every"`
	SignalLife  Duration          `json:"signal_life"`
	Subset      int               `json:"subset"` // regions that this balancer looks at by itself; 0 for all
	Readings    bool              `json:"readings"`
	Turns       bool              `json:"turns"`
}

// Config is what the member is to know, for a balancer of this name. The generation is the host's.
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
		return c, &Unfit{
			hint.Annotated{
				Where: "peers.signal_every",
				What:  fmt.Sprintf("%v is under 50ms", time.Duration(p.SignalEvery)),
				Do:    "set it to 50ms or more",
			},
		}
	case p.Subset < 0 || p.Subset > 128:
		return c, &Unfit{
			hint.Annotated{
				Where: "peers.subset",
				What:  fmt.Sprintf("%d is outside 0 to 128", p.Subset),
				Do:    "set it to 1 to 128 regions, or to 0 for all",
			},
		}
	case p.SignalLife < 2*p.SignalEvery:
		return c, &Unfit{
			hint.Annotated{
				Where: "peers.signal_life",
				What:  fmt.Sprintf("%v is under twice signal_every, %v", time.Duration(p.SignalLife), time.Duration(p.SignalEvery)),
				Do:    "make it longer, or signal_every shorter",
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

// Duration is a time as Go writes it, "1.5s"; in JSON a string.
type Duration time.Duration

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return &Unfit{
			hint.Annotated{
				What: fmt.Sprintf("%q is no time such as \"250ms\"", b),
				Do:   "write a figure with its unit: ms, s, m, h",
			},
		}
	}
	*d = Duration(x)
	return nil
}

// MarshalText writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is a number of bytes, "16KiB"; in JSON a string.
type Size int64

var sizes = []struct {
	unit string
	of   int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(b []byte) error {
	for _, u := range sizes {
		if number, ok := strings.CutSuffix(string(b), u.unit); ok {
			n, err := strconv.ParseInt(number, 10, 32)
			if err != nil || n < 0 {
				break
			}
			*s = Size(n * u.of)
			return nil
		}
	}
	return &Unfit{
		hint.Annotated{
			What: fmt.Sprintf("%q is no size such as \"16KiB\"", b),
			Do:   "write a whole figure with its unit: B, KiB, MiB, GiB",
		},
	}
}

// MarshalText writes it.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range sizes {
		if int64(s)%u.of == 0 && (s != 0 || u.of == 1) {
			return []byte(strconv.FormatInt(int64(s)/u.of, 10) + u.unit), nil
		}
	}
	return nil, nil
}

// Load reads the compiled file at path. An error is one line that names the file and the field.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &Unreadable{
			hint.Annotated{
				Where: "edge",
				Cause: err,
				Do:    "see that --edge (PROXY_EDGE) names a file that this balancer may read",
			},
		}
	}
	defer func() { _ = f.Close() }()
	body := make([]byte, Most+1)
	n := 0
	for n < len(body) {
		k, err := f.Read(body[n:])
		if n += k; err != nil {
			break
		}
	}
	if n > Most {
		return nil, &Unreadable{
			hint.Annotated{Where: "edge: " + path, What: fmt.Sprintf("longer than %d bytes", Most), Do: again},
		}
	}
	s, err := Parse(body[:n])
	if err != nil {
		return nil, &Unreadable{hint.Annotated{Where: "edge: " + path, Cause: err, Do: again}}
	}
	return s, nil
}

// Parse reads a compiled file's text.
func Parse(body []byte) (*Settings, error) {
	s := &Settings{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, &Unreadable{hint.Annotated{What: "not in the compiled form", Cause: err, Do: again}}
	}
	if s.Form != Form {
		return nil, &Unreadable{
			hint.Annotated{Where: "oatloft_edge", What: fmt.Sprintf("form %d; this program reads %d", s.Form, Form), Do: again},
		}
	}
	if d.More() {
		return nil, &Unreadable{hint.Annotated{What: "something follows the settings", Do: again}}
	}
	// What the file doesn't name would be zero here: compare with what these settings write.
	whole, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var have, want any
	_ = json.Unmarshal(body, &have)
	_ = json.Unmarshal(whole, &want)
	if field := missing(want, have, ""); field != "" {
		return nil, &Unreadable{hint.Annotated{Where: field, What: "missing", Do: again}}
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

func missing(want, have any, at string) string {
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
		if field := missing(w[name], got, path); field != "" {
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

// Config is what the decision module is to know. Tenants, and whether clients heed advice, are not the edge
// file's: the host adds them.
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
		return c, &Unfit{
			hint.Annotated{
				Where: "admission.reserve.identity",
				What:  fmt.Sprintf("%q is none of flow, tenant+flow, address", a.Reserve.Identity),
				Do:    "set one of the three",
			},
		}
	}
	if a.Descriptors.GoodByes < 0 {
		return c, &Unfit{
			hint.Annotated{Where: "admission.descriptors.good_byes", What: "negative", Do: "set it to 0 or more"},
		}
	}
	for i, text := range a.Address.Exempt {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return c, &Unfit{
				hint.Annotated{
					Where: fmt.Sprintf("admission.address.exempt[%d]", i),
					What:  fmt.Sprintf("%q is no network such as 10.0.0.0/8", text),
					Do:    "write address/bits",
				},
			}
		}
		c.Exempt = append(c.Exempt, p.Masked())
	}
	return c, nil
}

// Unfit is a value of the edge file that can't work.
type Unfit struct{ hint.Annotated }

// Unreadable is a compiled file that can't be read, or isn't as this version of the program takes it.
type Unreadable struct{ hint.Annotated }

const again = "compile the settings with this version's oatctl edge compile, and give that file"
