package membership

// The version of the message format, and its limits.
const (
	FormatVersion = 1    // version of the message format
	MaxName       = 64   // limit for a name, an address or a key, in bytes
	MaxPacket     = 1200 // bytes; small enough not to be fragmented on the path
	MaxSignal     = 512  // limit for one value, in bytes
	MaxKeys       = 256  // limit for the signals of one member
)

// Kind is the type of a message.
type Kind uint8

// The kinds of messages. A Ping names its target, because the address may belong to another member by now.
const (
	Ping         Kind = iota
	Ack               // answers a Ping
	IndirectPing      // asks the receiver to ping Target
	Nack              // answers an IndirectPing: Target did not answer the receiver either
	Sync              // requests all records and signals
	Gossip            // carries updates, or a part of the answer to a Sync
	kindCount
)

// Message is the content of a datagram. From is also the sender's record.
type Message struct {
	FormatVersion uint8
	Cluster       string
	From          Record
	Kind          Kind
	Sequence      uint32
	Target        string
	Last          bool // set on the last message that answers a Sync
	Members       []Record
	Signals       []SignalRecord
}

// SignalRecord is the encoded form of a signal. AgeMS is the time since its owner set it, as measured by the members
// that passed it on.
type SignalRecord struct {
	Owner      string
	Generation uint64
	Key        string
	Version    uint64 // increases with each signal that the owner sets
	AgeMS      uint32
	LifetimeMS uint32
	Value      []byte
}

// Upper limits of the encoded sizes without names and values, in bytes.
const (
	recordOverhead  = 20
	signalOverhead  = 40
	messageOverhead = 60
)

func recordSize(r Record) int       { return recordOverhead + len(r.Name) + len(r.Addr) }
func signalSize(s SignalRecord) int { return signalOverhead + len(s.Owner) + len(s.Key) + len(s.Value) }
