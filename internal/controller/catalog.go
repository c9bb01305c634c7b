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
	"opaldale/internal/statesvc"
)

// readCatalog takes the machine types from the state service, and failing that
// from the cloud.
func (l *lead) readCatalog(done func()) {
	l.catalog = &commit.Document{Key: catalogKey}
	l.catalog.Render = func() json.RawMessage {
		if l.level >= ident.FormatPacked {
			return nil
		}
		return api.JSON(l.models)
	}
	known := func(models []cloud.MachineType) {
		if len(models) == 0 {
			l.askCatalog(done)
			return
		}
		l.setModels(models)
		done()
		l.askCatalog(nil)
	}
	whole := func() {
		l.read(statesvc.Request{Op: statesvc.Get, Key: catalogKey, Timeout: commitTime}, func(r statesvc.Response) {
			var models []cloud.MachineType
			if r.Outcome == statesvc.OK {
				l.catalog.Revision = r.Revision
				if err := json.Unmarshal(r.Value, &models); err != nil {
					slog.Error("unreadable catalog", "err", err)
				}
			}
			known(models)
		})
	}
	if l.level < ident.FormatPacked {
		whole()
		return
	}
	var pairs []statesvc.KeyValue
	l.readAll(typesPrefix, "", &pairs, func() {
		var models []cloud.MachineType
		for i, p := range pairs {
			var m cloud.MachineType
			if p.Key != typeKey(i) || json.Unmarshal(p.Value, &m) != nil {
				slog.Error("unreadable machine type", "path", p.Key)
				continue
			}
			l.typeDoc(i).Revision = p.Revision
			models = append(models, m)
		}
		if len(models) == 0 {
			whole()
			return
		}
		known(models)
	})
}

func typeKey(i int) string { return fmt.Sprintf("%s%05d", typesPrefix, i) }

// typeDoc is the record of the i-th machine type.
func (l *lead) typeDoc(i int) *commit.Document {
	for k := len(l.types); k <= i; k++ {
		d := &commit.Document{Key: typeKey(k)}
		d.Render = func() json.RawMessage {
			if k >= len(l.models) {
				return nil
			}
			b := api.JSON(l.models[k])
			if len(b) > l.valueBytes {
				slog.Error("a machine type is too large to be stored; the cloud tells it again", "model", l.models[k].SKU)
				return nil
			}
			return b
		}
		l.types = append(l.types, d)
	}
	return l.types[i]
}

// storeCatalog writes the machine types.
func (l *lead) storeCatalog() {
	if l.level >= ident.FormatPacked {
		for i := range max(len(l.models), len(l.types)) {
			l.commits.MarkDirty(l.typeDoc(i), nil)
		}
		if l.catalog.Revision == 0 {
			return
		}
	}
	l.commits.MarkDirty(l.catalog, nil)
}

func (l *lead) setModels(models []cloud.MachineType) {
	l.models = models
	for i := range models {
		k := models[i]
		if old := l.kinds[k.SKU]; old != nil {
			*old = k // machines point to it
		} else {
			l.kinds[k.SKU] = &k
		}
	}
}

// askCatalog reads the cloud's catalog; first is called once it is known, or
// nil: it is then read again in a while, since prices move.
func (l *lead) askCatalog(first func()) {
	l.c.env.Cloud(cloud.Request{Op: cloud.Catalog}, func(r cloud.Response) {
		if l.dead {
			return
		}
		wait := catalogEvery
		if r.Outcome == cloud.OK && len(r.MachineTypes) > 0 {
			same := len(r.MachineTypes) == len(l.models)
			for i := 0; same && i < len(r.MachineTypes); i++ {
				a, b := r.MachineTypes[i], l.models[i]
				a.SpotPrice, b.SpotPrice = 0, 0
				same = string(api.JSON(a)) == string(api.JSON(b))
			}
			l.setModels(r.MachineTypes)
			if !same {
				l.storeCatalog()
			}
			if first != nil {
				first()
				first = nil
			}
		} else {
			slog.Info("catalog unavailable", "err", r.Error)
			wait = time.Second
		}
		l.c.env.After(wait, func() {
			if !l.dead {
				l.askCatalog(first)
			}
		})
	})
}
