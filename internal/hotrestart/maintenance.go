package hotrestart

import (
	"errors"
	"os"
	"slices"
)

// Maintenance lists the servers in maintenance, and all servers that were ever listed.
type Maintenance struct {
	Servers      []string `json:"out"`
	KnownServers []string `json:"known"`
}

// ReadMaintenance reads which servers are in maintenance; without a file, none are. The error is *DamagedFile.
func (d *Dir) ReadMaintenance() (m Maintenance, err error) {
	_, err = d.read(maintenanceKind, &m)
	if errors.Is(err, os.ErrNotExist) {
		return Maintenance{}, nil
	}
	if err != nil {
		return Maintenance{}, err
	}
	return m, nil
}

// SetMaintenance puts a server into maintenance or takes it out, and returns once the change is on disk. It is applied
// to the content of the file, since another process may have changed that; current is this process's own state, used
// instead if the file cannot be read. The error is *WriteFailed.
func (d *Dir) SetMaintenance(server string, on bool, current Maintenance) error {
	unlock, err := d.lock()
	if err != nil {
		return err
	}
	defer unlock()
	m, err := d.ReadMaintenance()
	if err != nil {
		m = Maintenance{Servers: slices.Clone(current.Servers)}
	}
	m.Servers = slices.DeleteFunc(m.Servers, func(excluded string) bool { return excluded == server })
	if on {
		m.Servers = append(m.Servers, server)
	}
	m.KnownServers = append(m.KnownServers, current.KnownServers...)
	slices.Sort(m.Servers)
	slices.Sort(m.KnownServers)
	m.KnownServers = slices.Compact(m.KnownServers)
	return d.write(maintenanceKind, m)
}

// MaintenanceChanged reports whether the maintenance file has changed since the last call.
func (d *Dir) MaintenanceChanged() bool { return d.changed(maintenanceKind) }
