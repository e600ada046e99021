package membership

// Limits of messages.
const (
	FormatVersion = 1
	MaxName       = 64   // bytes of a name, an address or a key
	MaxPacket     = 1200 // bytes: small enough that no link on the way has to fragment it
	MaxSignal     = 512  // bytes of one value
	MaxKeys       = 256  // signals of one member
)

// Kind is what a message asks for or answers.
type Kind uint8

// The kinds of message. A Ping names its target, because an address can have another owner by now.
const (
	Ping         Kind = iota
	Ack               // answers a Ping
	IndirectPing      // asks the receiver to ping Target
	Nack              // answers an IndirectPing: Target did not answer the receiver either
	Sync              // asks for everything
	Gossip            // a part of the answer to a Sync, or updates
	kinds
)

// Message is a datagram. From counts as a record of the sender.
type Message struct {
	FormatVersion uint8
	Cluster       string
	From          Record
	Kind          Kind
	Sequence      uint32
	Target        string
	Last          bool // of the messages that answer a Sync
	Members       []Record
	Signals       []SignalRecord
}

// SignalRecord is a signal as it travels. AgeMS is how long ago its owner set it, counted by those who passed it on.
type SignalRecord struct {
	Owner      string
	Generation uint64
	Key        string
	Version    uint64 // among all signals of the owner's generation
	AgeMS      uint32
	LifetimeMS uint32
	Value      []byte
}

// Upper bounds of the encoded sizes, in bytes, without names and values.
const (
	recordOverhead  = 20
	signalOverhead  = 40
	messageOverhead = 60
)

func recordSize(r Record) int       { return recordOverhead + len(r.Name) + len(r.Addr) }
func signalSize(s SignalRecord) int { return signalOverhead + len(s.Owner) + len(s.Key) + len(s.Value) }
