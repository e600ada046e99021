package hotrestart

import (
	"errors"
	"os"
	"time"
)

// DiscoveryRecord says which address of discovery a process used. The next process compares the addresses that it is
// given with these, and so knows which of them has changed since.
type DiscoveryRecord struct {
	Override      string `json:"override"`   // given by flag or environment variable; empty if neither was set
	File          string `json:"file"`       // given by the configuration file; empty if it named none
	Answered      string `json:"answered"`   // the one of the two where discovery answered
	StartedMillis int64  `json:"started_ms"` // Unix time at which the process that wrote the record started
}

// ReadDiscovery reads the latest record; ok is false if there is none. The error is *DamagedFile.
func (d *Dir) ReadDiscovery() (record DiscoveryRecord, ok bool, err error) {
	_, err = d.read(discoveryKind, &record)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return DiscoveryRecord{}, false, nil
	case err != nil:
		return DiscoveryRecord{}, false, err
	}
	return record, true, nil
}

// WriteDiscovery replaces the record, unless a process that started later has written it. The error is *WriteFailed.
func (d *Dir) WriteDiscovery(record DiscoveryRecord) error {
	latest, ok, err := d.ReadDiscovery()
	if err == nil && ok && latest.StartedMillis > record.StartedMillis {
		return nil
	}
	return d.write(discoveryKind, record)
}

// AnnounceReload tells the balancer's other processes that this one has read the configuration file again. The error is
// *WriteFailed.
func (d *Dir) AnnounceReload() error {
	err := d.write(reloadKind, struct{}{})
	d.changed(reloadKind) // this process does not follow itself
	return err
}

// ReloadAnnounced reports whether another process has announced a reload since the last call, and did so after a time:
// when this process last read the file.
func (d *Dir) ReloadAnnounced(after time.Time) bool {
	if !d.changed(reloadKind) {
		return false
	}
	written, err := d.read(reloadKind, &struct{}{})
	return err == nil && !written.Before(after.Truncate(time.Millisecond))
}
