package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/view"
)

// fanOut is the number of daemons that follow one daemon.
const fanOut = 3

// readers says which daemons read from the platform.
type readers struct {
	ofCentre int // daemons of a data centre that follow none of it
	centres  int // data centres of the region whose daemons read; 0 means all
}

// parent returns the peer address that the daemon in slot follows, or "" when
// it reads from the platform: the first readers of a data centre do, those of
// further data centres follow them. One that is not in service yet follows any that
// is; many that start together would otherwise all read from the platform. Daemons
// is the list of a view.
func (r readers) parent(daemons []view.Daemon, slot, dataCentre string) string {
	list := inDataCentre(daemons, dataCentre)
	i := slices.IndexFunc(list, func(d view.Daemon) bool { return d.Slot == slot })
	switch {
	case i < 0 && len(list) >= r.ofCentre:
		return list[xxhash.Sum64String(slot)%uint64(len(list))].PeerAddr
	case i < 0:
		return ""
	case i < r.ofCentre:
		return r.elsewhere(daemons, dataCentre, i)
	}
	return list[(i-r.ofCentre)/fanOut].PeerAddr
}

// elsewhere returns the peer that the reader with a number of a data centre follows
// in one whose daemons read from the platform, "" if its own are to.
func (r readers) elsewhere(daemons []view.Daemon, dataCentre string, number int) string {
	names := dataCentres(daemons)
	at := slices.Index(names, dataCentre)
	if r.centres == 0 || at < r.centres {
		return ""
	}
	list := inDataCentre(daemons, names[at%r.centres])
	return list[number%len(list)].PeerAddr
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
