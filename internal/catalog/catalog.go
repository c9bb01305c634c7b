// Package catalog holds a leader's list of the machine types that the cloud offers. The list is refreshed from the cloud
// periodically, since prices change, and persisted in the key-value store, so that a new leader has it even while the
// cloud is unreachable.
package catalog

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/decode"
	"opaldale/internal/kvstore"
)

const (
	// Key is the key that holds all machine types in one value, in the legacy format.
	Key = "catalog"
	// Prefix is the prefix of the keys that each hold one machine type, in the packed format.
	Prefix = "types/"

	refreshInterval = 30 * time.Second
	retryInterval   = time.Second
)

// Env provides timers and sends requests to the cloud.
type Env interface {
	After(time.Duration, func())
	Cloud(cloud.Request, func(cloud.Response))
}

// Reader reads from the key-value store, and retries each read until it succeeds.
type Reader interface {
	Get(key string, done func(kvstore.Response))
	ListAll(prefix string, done func([]kvstore.KeyValue))
}

// Config configures a Catalog for a term.
type Config struct {
	Packed        bool        // whether the packed format is enabled
	MaxValueBytes int         // the largest value that the key-value store accepts
	Closed        func() bool // reports whether the term has ended
}

// Catalog is a leader's list of machine types during one term. It is not safe for concurrent use.
type Catalog struct {
	config    Config
	env       Env
	reader    Reader
	committer *commit.Committer

	types     []cloud.MachineType
	bySKU     map[string]*cloud.MachineType
	singleDoc *commit.Document   // all machine types, in the legacy format
	typeDocs  []*commit.Document // one for each machine type, in the packed format
}

// New returns an empty catalog.
func New(config Config, env Env, reader Reader, committer *commit.Committer) *Catalog {
	c := &Catalog{
		config:    config,
		env:       env,
		reader:    reader,
		committer: committer,
		bySKU:     map[string]*cloud.MachineType{},
		singleDoc: &commit.Document{Key: Key},
	}
	c.singleDoc.Render = c.renderSingle
	return c
}

// Types returns the machine types that the cloud offers at present.
func (c *Catalog) Types() []cloud.MachineType { return c.types }

// Type returns the machine type with a SKU, even if it is no longer offered, or nil if it has never been offered. The
// pointer stays valid for the term, and the machine type that it points to is updated with each refresh.
func (c *Catalog) Type(sku string) *cloud.MachineType { return c.bySKU[sku] }

// Load reads the machine types from the key-value store, or from the cloud if the store has none, and then calls done.
// From then on the machine types are refreshed from the cloud until the term ends.
func (c *Catalog) Load(done func()) {
	if c.config.Packed {
		c.loadPacked(done)
	} else {
		c.loadSingle(done)
	}
}

func (c *Catalog) loadPacked(done func()) {
	c.reader.ListAll(Prefix, func(pairs []kvstore.KeyValue) {
		var types []cloud.MachineType
		for i, p := range pairs {
			var machineType cloud.MachineType
			if p.Key != typeKey(i) || decode.JSON(p.Value, &machineType) != nil {
				slog.Error("invalid machine type in store", "path", p.Key)
				continue
			}
			c.typeDoc(i).Revision = p.Revision
			types = append(types, machineType)
		}
		if len(types) == 0 {
			c.loadSingle(done)
			return
		}
		c.onLoaded(types, done)
	})
}

func (c *Catalog) loadSingle(done func()) {
	c.reader.Get(Key, func(r kvstore.Response) {
		var types []cloud.MachineType
		if r.Outcome == kvstore.OK {
			c.singleDoc.Revision = r.Revision
			if err := decode.JSON(r.Value, &types); err != nil {
				slog.Error("invalid machine catalog in store", "path", Key, "err", err)
			}
		}
		c.onLoaded(types, done)
	})
}

// onLoaded uses the machine types from the key-value store, if it has any, and starts the refreshes from the cloud. done
// is called as soon as any machine types are known.
func (c *Catalog) onLoaded(types []cloud.MachineType, done func()) {
	if len(types) == 0 {
		c.refresh(done)
		return
	}
	c.setTypes(types)
	done()
	c.refresh(nil)
}

// UsePackedFormat switches to the packed format when it is enabled during the term, and writes the machine types again.
func (c *Catalog) UsePackedFormat() {
	c.config.Packed = true
	c.markDirty()
}

// markDirty schedules the machine types to be written to the key-value store.
func (c *Catalog) markDirty() {
	if c.config.Packed {
		for i := range max(len(c.types), len(c.typeDocs)) {
			c.committer.MarkDirty(c.typeDoc(i), nil)
		}
		if c.singleDoc.Revision == 0 {
			return // the key of the legacy format does not exist
		}
	}
	c.committer.MarkDirty(c.singleDoc, nil)
}

// renderSingle returns the value in the legacy format, or nil to delete its key if the packed format is enabled.
func (c *Catalog) renderSingle() json.RawMessage {
	if c.config.Packed {
		return nil
	}
	return api.JSON(c.types)
}

func typeKey(i int) string { return fmt.Sprintf("%s%05d", Prefix, i) }

// typeDoc returns the document that stores the i-th machine type. It creates missing documents.
func (c *Catalog) typeDoc(i int) *commit.Document {
	for index := len(c.typeDocs); index <= i; index++ {
		d := &commit.Document{Key: typeKey(index)}
		d.Render = func() json.RawMessage { return c.renderType(index) }
		c.typeDocs = append(c.typeDocs, d)
	}
	return c.typeDocs[i]
}

// renderType returns the value of the i-th machine type, or nil to delete its key if there is no such type or it is too
// large to be stored. A new leader reads a type that is not stored from the cloud.
func (c *Catalog) renderType(i int) json.RawMessage {
	if i >= len(c.types) {
		return nil
	}
	b := api.JSON(c.types[i])
	if len(b) > c.config.MaxValueBytes {
		slog.Error("machine type too large to store", "model", c.types[i].SKU, "bytes", len(b))
		return nil
	}
	return b
}

// setTypes replaces the list of machine types. Type still returns types that are no longer offered.
func (c *Catalog) setTypes(types []cloud.MachineType) {
	c.types = types
	for i := range types {
		current := types[i]
		if known := c.bySKU[current.SKU]; known != nil {
			*known = current // callers of Type hold the pointer
		} else {
			c.bySKU[current.SKU] = &current
		}
	}
}

// refresh reads the machine types from the cloud, now and then periodically. onFirst, if not nil, is called after the
// first successful read.
func (c *Catalog) refresh(onFirst func()) {
	c.env.Cloud(cloud.Request{Op: cloud.Catalog}, func(r cloud.Response) {
		if c.config.Closed() {
			return
		}
		wait := refreshInterval
		if r.Outcome == cloud.OK && len(r.MachineTypes) > 0 {
			c.update(r.MachineTypes)
			if onFirst != nil {
				onFirst()
				onFirst = nil
			}
		} else {
			slog.Info("reading machine types from cloud failed, will retry", "err", r.Error)
			wait = retryInterval
		}
		c.env.After(wait, func() {
			if !c.config.Closed() {
				c.refresh(onFirst)
			}
		})
	})
}

// update replaces the machine types by those that the cloud offers. If only spot prices differ, the types are not written
// to the key-value store, since prices change often and a new leader reads them from the cloud.
func (c *Catalog) update(types []cloud.MachineType) {
	changed := !sameExceptPrices(types, c.types)
	c.setTypes(types)
	if changed {
		c.markDirty()
	}
}

// sameExceptPrices reports whether two lists of machine types differ at most in their spot prices.
func sameExceptPrices(a, b []cloud.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		left, right := a[i], b[i]
		left.SpotPrice, right.SpotPrice = 0, 0
		if string(api.JSON(left)) != string(api.JSON(right)) {
			return false
		}
	}
	return true
}
