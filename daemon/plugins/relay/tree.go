package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/view"
)

// fanOut is the number of daemons that follow one daemon.
const fanOut = 3

// parent returns the peer address that the daemon in slot follows, or "" when
// it reads from the platform: the first readers of a data centre do. One that is
// not in service yet follows any that is; many that start together would
// otherwise all read from the platform. Daemons is the list of a view.
func parent(daemons []view.Daemon, slot, dataCentre string, readers int) string {
	list := inDataCentre(daemons, dataCentre)
	i := slices.IndexFunc(list, func(d view.Daemon) bool { return d.Slot == slot })
	switch {
	case i < 0 && len(list) >= readers:
		return list[xxhash.Sum64String(slot)%uint64(len(list))].PeerAddr
	case i < readers:
		return ""
	}
	return list[(i-readers)/fanOut].PeerAddr
}

// inDataCentre returns the part of the list that is in a data centre.
func inDataCentre(daemons []view.Daemon, dataCentre string) []view.Daemon {
	first := slices.IndexFunc(daemons, func(d view.Daemon) bool { return d.DataCentre == dataCentre })
	if first < 0 {
		return nil
	}
	last := first
	for last < len(daemons) && daemons[last].DataCentre == dataCentre {
		last++
	}
	return daemons[first:last]
}

// dataCentres returns the names of the data centres with a daemon in service.
func dataCentres(daemons []view.Daemon) []string {
	var names []string
	for _, d := range daemons {
		if len(names) == 0 || names[len(names)-1] != d.DataCentre {
			names = append(names, d.DataCentre)
		}
	}
	return names
}
