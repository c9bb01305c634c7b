package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// loadCatalog takes the machine types from the state service, and failing that
// from the cloud.
func (l *leaderTerm) loadCatalog(done func()) {
	l.catalogDoc = &commit.Document{Key: catalogKey}
	l.catalogDoc.Render = func() json.RawMessage {
		if l.formatLevel >= ident.FormatPacked {
			return nil
		}
		return api.JSON(l.machineTypes)
	}
	known := func(models []cloud.MachineType) {
		if len(models) == 0 {
			l.refreshCatalog(done)
			return
		}
		l.setMachineTypes(models)
		done()
		l.refreshCatalog(nil)
	}
	readSingleKey := func() {
		l.readWithRetry(kvstore.Request{Op: kvstore.Get, Key: catalogKey, Timeout: storeTimeout}, func(r kvstore.Response) {
			var models []cloud.MachineType
			if r.Outcome == kvstore.OK {
				l.catalogDoc.Revision = r.Revision
				if err := json.Unmarshal(r.Value, &models); err != nil {
					slog.Error("unreadable catalog", "err", err)
				}
			}
			known(models)
		})
	}
	if l.formatLevel < ident.FormatPacked {
		readSingleKey()
		return
	}
	var pairs []kvstore.KeyValue
	l.listAll(machineTypesPrefix, "", &pairs, func() {
		var models []cloud.MachineType
		for i, p := range pairs {
			var machineType cloud.MachineType
			if p.Key != machineTypeKey(i) || json.Unmarshal(p.Value, &machineType) != nil {
				slog.Error("unreadable machine type", "path", p.Key)
				continue
			}
			l.machineTypeDoc(i).Revision = p.Revision
			models = append(models, machineType)
		}
		if len(models) == 0 {
			readSingleKey()
			return
		}
		known(models)
	})
}

func machineTypeKey(i int) string { return fmt.Sprintf("%s%05d", machineTypesPrefix, i) }

// machineTypeDoc is the record of the i-th machine type.
func (l *leaderTerm) machineTypeDoc(i int) *commit.Document {
	for index := len(l.machineTypeDocs); index <= i; index++ {
		d := &commit.Document{Key: machineTypeKey(index)}
		d.Render = func() json.RawMessage {
			if index >= len(l.machineTypes) {
				return nil
			}
			b := api.JSON(l.machineTypes[index])
			if len(b) > l.maxValueBytes {
				slog.Error("a machine type is too large to be stored; the cloud tells it again", "model", l.machineTypes[index].SKU)
				return nil
			}
			return b
		}
		l.machineTypeDocs = append(l.machineTypeDocs, d)
	}
	return l.machineTypeDocs[i]
}

// writeCatalog writes the machine types.
func (l *leaderTerm) writeCatalog() {
	if l.formatLevel >= ident.FormatPacked {
		for i := range max(len(l.machineTypes), len(l.machineTypeDocs)) {
			l.committer.MarkDirty(l.machineTypeDoc(i), nil)
		}
		if l.catalogDoc.Revision == 0 {
			return
		}
	}
	l.committer.MarkDirty(l.catalogDoc, nil)
}

func (l *leaderTerm) setMachineTypes(models []cloud.MachineType) {
	l.machineTypes = models
	for i := range models {
		k := models[i]
		if old := l.machineTypeBySKU[k.SKU]; old != nil {
			*old = k // machines point to it
		} else {
			l.machineTypeBySKU[k.SKU] = &k
		}
	}
}

// refreshCatalog reads the cloud's catalog; first is called once it is known, or
// nil: it is then read again in a while, since prices move.
func (l *leaderTerm) refreshCatalog(onFirst func()) {
	l.env.Cloud(cloud.Request{Op: cloud.Catalog}, func(r cloud.Response) {
		if l.closed() {
			return
		}
		wait := catalogInterval
		if r.Outcome == cloud.OK && len(r.MachineTypes) > 0 {
			same := len(r.MachineTypes) == len(l.machineTypes)
			for i := 0; same && i < len(r.MachineTypes); i++ {
				a, b := r.MachineTypes[i], l.machineTypes[i]
				a.SpotPrice, b.SpotPrice = 0, 0
				same = string(api.JSON(a)) == string(api.JSON(b))
			}
			l.setMachineTypes(r.MachineTypes)
			if !same {
				l.writeCatalog()
			}
			if onFirst != nil {
				onFirst()
				onFirst = nil
			}
		} else {
			slog.Info("catalog unavailable", "err", r.Error)
			wait = time.Second
		}
		l.env.After(wait, func() {
			if !l.closed() {
				l.refreshCatalog(onFirst)
			}
		})
	})
}
