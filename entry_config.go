package citronpier

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/enforcer"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/watcher"
)

// Codec encodes and decodes the records in the store and the headers of
// requests to upstreams, in the formats of one platform.
type Codec interface {
	watcher.Decoder
	exchanger.Codec
	// EncodeKeyed encodes a record of a keyed partition. A nil value deletes the key.
	EncodeKeyed(key string, value []byte) []byte
}

// EntryConfig holds the parameters of an Entry. All fields are required except
// Seeds, Retention, Dial, Memory, ChainBytes, TurnBytes,
// Connections, Bodies, Backlogs, Grace and Drain.
type EntryConfig struct {
	// Host describes this host. Its ID is its peer address.
	Host descriptor.Host
	// Seeds are the peer addresses that are pinged at the start, before
	// the service-discovery list is read. The hosts at these addresses need not be
	// running.
	Seeds []string
	// Store is the client of the platform's partitioned store.
	Store connector.Store
	// Shards are the partitions that hold the programs. All hosts must have the
	// same shards in the same order.
	Shards []connector.Partition
	// RecordBytes is the size of the largest record that the store takes, in
	// bytes.
	RecordBytes int
	// CallBytes is the size of the largest append that the store takes, in bytes; 0 if
	// it is unknown.
	CallBytes int
	// Retention is how long the store keeps records; 0 means forever.
	Retention time.Duration
	// Codec is the platform's format of records and headers.
	Codec Codec
	// Configurations, Upstreams and Hosts are the keyed partitions that hold the
	// operator's configuration, the upstreams and the entry hosts.
	Configurations connector.Partition
	Upstreams      connector.Partition
	Hosts          connector.Partition
	// Quarantines is the keyed partition that holds the requests which are refused because
	// they crash upstreams.
	Quarantines connector.Partition
	// Gossip is the UDP socket for the datagrams of the membership, bound to the peer
	// address.
	Gossip net.PacketConn
	// Dial opens connections to upstreams and other hosts. If it is nil,
	// exchanger.NewDial is used.
	Dial connector.Dial
	// Memory is what the responses of upstreams and of other hosts take their memory from.
	// nil means that it is not bounded.
	Memory *allocator.Pool
	// ChainBytes bounds the chains that are cached for turns, in bytes; 0 means 32 MB.
	ChainBytes int64
	// TurnBytes bounds the turns that this host keeps in memory for their programs, in bytes; 0
	// means that they are not bounded.
	TurnBytes int64
	// Connections bounds the connections of callers; nil means that they are not bounded.
	Connections *enforcer.Connections
	// Bodies is the memory for the bodies of callers, which the metrics show; nil if there is none.
	Bodies *allocator.Bodies
	// Backlogs is the memory for responses that callers read slowly. nil means that a response
	// waits for its caller.
	Backlogs *enforcer.Backlogs
	// Grace is the grace period: how long a planned stop may take; 0 means 8 s.
	Grace time.Duration
	// Drain is how long an upstream serves on after it has begun to leave; 0 if it is not
	// known.
	Drain time.Duration
	// Revocation is the time after which a revoked key must not work any more, also on hosts
	// that don't reach the store; 0 if there is no such bound.
	Revocation time.Duration
	// Allowances is how exactly the hosts keep the allowances of organisations.
	Allowances AllowanceBounds
	// Contended is true if callers are expected to compete for insufficient capacity, also
	// where the fleet is small.
	Contended bool
	Logger    zerolog.Logger
}

// defaultGrace is the grace period (how long a planned stop may take) if
// EntryConfig.Grace is 0.
const defaultGrace = 8 * time.Second
