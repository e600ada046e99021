package proxy

import (
	"log/slog"
	"time"

	"oatloft/internal/clientstore"
)

// minSnapshotInterval is the shortest interval between two snapshots of known clients.
const minSnapshotInterval = time.Second

// loadSnapshot restores the known clients of an earlier process, if there are any.
func (a *admissionController) loadSnapshot() {
	if a.cfg.SnapshotPath == "" {
		return
	}
	s, err := clientstore.Load(a.cfg.SnapshotPath, time.Now(), a.cfg.SnapshotMaxAge)
	if err != nil {
		a.log.Warn("known clients not restored, starting with none", "err", err)
		return
	}
	if len(s.Clients) > 0 {
		restored := a.controller.Restore(a.now(), s.Seed, s.Clients)
		a.log.Info("known clients restored", "clients", restored, "of", len(s.Clients))
	}
}

// startSnapshots writes snapshots of known clients in the background. stop writes the last one and returns when it
// is written.
func (a *admissionController) startSnapshots() (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		a.writeSnapshots(stopping)
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

func (a *admissionController) writeSnapshots(stopping <-chan struct{}) {
	if a.cfg.SnapshotPath == "" {
		return
	}
	tick := time.NewTicker(max(minSnapshotInterval, a.cfg.SnapshotInterval))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			a.writeSnapshot()
		case <-stopping:
			a.writeSnapshot()
			return
		}
	}
}

func (a *admissionController) writeSnapshot() {
	a.mu.Lock()
	seed, clients := a.controller.KnownClients()
	a.mu.Unlock()
	snapshot := clientstore.Snapshot{CreatedAt: time.Now(), Seed: seed, Clients: clients}
	if err := clientstore.Save(a.cfg.SnapshotPath, snapshot); err != nil {
		a.limitedLog.Say(
			time.Now(),
			slog.LevelWarn,
			"snapshot",
			"cannot write snapshot of known clients",
			slog.Any("err", err),
		)
	}
}
