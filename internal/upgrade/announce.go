package upgrade

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
)

// NodeKeyPrefix is the prefix of the keys under which nodes announce the formats that they can decode.
// Program versions without format levels do not read these keys.
const NodeKeyPrefix = "nodes/"

// announcement is the value of a node's key.
type announcement struct {
	Level           ident.FormatLevel `json:"level"`            // the newest format level that the node can decode
	FrameCapability int               `json:"frames,omitempty"` // level of optional inter-node messages that the node can decode
}

// ownAnnouncement is the announcement of this program version.
var ownAnnouncement = announcement{
	Level:           ident.NewestFormatLevel,
	FrameCapability: transport.LinkStateCapability,
}

// covers reports whether a node with this announcement can decode all formats of another announcement.
func (a announcement) covers(other announcement) bool {
	return a.Level >= other.Level && a.FrameCapability >= other.FrameCapability
}

// decodeAnnouncements returns the announcements in a list of key-value pairs, by node. It skips other keys and
// malformed values.
func decodeAnnouncements(pairs []kvstore.KeyValue) map[ident.NodeID]announcement {
	announcements := map[ident.NodeID]announcement{}
	for _, pair := range pairs {
		node, ok := strings.CutPrefix(pair.Key, NodeKeyPrefix)
		if !ok {
			continue
		}
		var a announcement
		if decode.JSON(pair.Value, &a) == nil {
			announcements[ident.NodeID(node)] = a
		}
	}
	return announcements
}

// FrameCapabilities returns which optional inter-node messages each node can decode, such as
// transport.LinkStateCapability, from the announcements in a list of key-value pairs.
func FrameCapabilities(pairs []kvstore.KeyValue) map[ident.NodeID]int {
	capabilities := map[ident.NodeID]int{}
	for node, a := range decodeAnnouncements(pairs) {
		capabilities[node] = a.FrameCapability
	}
	return capabilities
}

// minAnnounceDelay is the minimum delay before an announcement is retried. Random jitter of up to the same
// duration is added.
const minAnnounceDelay = time.Second

// announcer writes the announcement of this program version to the key of a node.
type announcer struct {
	port Port
	rng  *rand.Rand
	key  string
}

// Announce writes the announcement of this program version to the key of a node, unless the stored
// announcement already covers it. It retries until the store confirms the announcement. The key is never
// deleted: a node that restarts is assumed to run the same program version or a later one.
func Announce(port Port, rng *rand.Rand, node ident.NodeID) {
	a := announcer{port: port, rng: rng, key: NodeKeyPrefix + string(node)}
	a.announce()
}

func (a announcer) announce() {
	request := kvstore.Request{Op: kvstore.Get, Key: a.key, Timeout: callTimeout}
	a.port.Store(request, func(response kvstore.Response) {
		switch response.Outcome {
		case kvstore.OK:
			if !isAnnounced(response.Value) {
				a.write(response.Revision)
			}
		case kvstore.NotFound:
			a.write(0)
		default:
			a.retryLater()
		}
	})
}

// isAnnounced reports whether a stored announcement covers the one of this program version.
func isAnnounced(value []byte) bool {
	var announced announcement
	return decode.JSON(value, &announced) == nil && announced.covers(ownAnnouncement)
}

// write writes the key if it is still at the given revision; 0 means that the key does not exist.
func (a announcer) write(revision ident.Revision) {
	value, err := json.Marshal(ownAnnouncement)
	if err != nil {
		panic(err) // the type cannot fail to encode
	}
	request := kvstore.Request{
		Op:        kvstore.Txn,
		Compares:  []kvstore.Compare{{Key: a.key, Revision: revision}},
		Mutations: []kvstore.Mutation{{Put: a.key, Value: value}},
		Timeout:   callTimeout,
	}
	a.port.Store(request, func(response kvstore.Response) {
		if response.Outcome != kvstore.OK {
			a.retryLater() // if the write was applied nevertheless, the next read detects it
		}
	})
}

func (a announcer) retryLater() {
	jitter := time.Duration(a.rng.Int64N(int64(minAnnounceDelay)))
	a.port.After(minAnnounceDelay+jitter, a.announce)
}
