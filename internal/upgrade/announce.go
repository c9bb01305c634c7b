package upgrade

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
)

// NodeKeyPrefix is the prefix of the keys under which nodes announce what they can decode. Versions
// without format levels never read them.
const NodeKeyPrefix = "nodes/"

// announcement is the value of a node's key.
type announcement struct {
	Level           ident.FormatLevel `json:"level"`            // the newest format level that the node can decode
	FrameCapability int               `json:"frames,omitempty"` // of optional messages between nodes, those it can decode
}

// ownAnnouncement is what this program can decode.
var ownAnnouncement = announcement{
	Level:           ident.NewestFormatLevel,
	FrameCapability: transport.LinkStateCapability,
}

// covers reports whether a node can decode all that another announcement names.
func (a announcement) covers(other announcement) bool {
	return a.Level >= other.Level && a.FrameCapability >= other.FrameCapability
}

// decodeAnnouncements returns the announcements among some keys, by node. Malformed ones are left
// out.
func decodeAnnouncements(pairs []kvstore.KeyValue) map[ident.NodeID]announcement {
	announcements := map[ident.NodeID]announcement{}
	for _, pair := range pairs {
		node, ok := strings.CutPrefix(pair.Key, NodeKeyPrefix)
		if !ok {
			continue
		}
		var a announcement
		if json.Unmarshal(pair.Value, &a) == nil {
			announcements[ident.NodeID(node)] = a
		}
	}
	return announcements
}

// FrameCapabilities returns what optional messages the nodes can decode, by the announcements among
// some keys.
func FrameCapabilities(pairs []kvstore.KeyValue) map[ident.NodeID]int {
	capabilities := map[ident.NodeID]int{}
	for node, a := range decodeAnnouncements(pairs) {
		capabilities[node] = a.FrameCapability
	}
	return capabilities
}

// minAnnounceDelay is the least time before an announcement is tried again; a random time up to as
// long is added.
const minAnnounceDelay = time.Second

// announcer announces this program under a node's key.
type announcer struct {
	port Port
	rng  *rand.Rand
	key  string
}

// Announce writes what this program can decode under the node's key, unless the key says so already.
// It tries until the key is known to be written. The key is never deleted: a node that restarts
// runs the same program or a later one.
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

// isAnnounced reports whether a key's value names all that this program can decode.
func isAnnounced(value []byte) bool {
	var announced announcement
	return json.Unmarshal(value, &announced) == nil && announced.covers(ownAnnouncement)
}

// write writes the key, provided that it is at a revision, 0 if it does not exist.
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
			a.retryLater() // it may have been applied; reading the key shows that
		}
	})
}

func (a announcer) retryLater() {
	jitter := time.Duration(a.rng.Int64N(int64(minAnnounceDelay)))
	a.port.After(minAnnounceDelay+jitter, a.announce)
}
