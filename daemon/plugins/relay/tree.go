package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/view"
)

// fanOut is the number of daemons in service that read from one daemon of their
// data centre.
const fanOut = 3

// readers selects the daemons that read from the platform.
type readers struct {
	perCentre int // daemons of a data centre that read from no other daemon of it
	centres   int // data centres of the region that read from the platform; 0 means all
}

// parent returns the peer address from which the daemon in slot reads, or "" if
// it reads from the platform. The first perCentre daemons of a data centre read from
// the platform if the data centre is one of the first r.centres in the list, and
// otherwise from a daemon of one of those. The other daemons of a data centre read
// from a daemon before them in the list. A daemon that is not in service yet reads
// from one in service of its data centre, so that daemons that start together do not
// all read from the platform; only if fewer than perCentre are in service does it
// read from the platform. daemons is the list of a view, grouped by data centre.
func (r readers) parent(daemons []view.Daemon, slot, dataCentre string) string {
	list := inDataCentre(daemons, dataCentre)
	i := slices.IndexFunc(list, func(d view.Daemon) bool { return d.Slot == slot })
	switch {
	case i < 0 && len(list) >= r.perCentre:
		return list[xxhash.Sum64String(slot)%uint64(len(list))].PeerAddr
	case i < 0:
		return ""
	case i < r.perCentre:
		return r.remoteParent(daemons, dataCentre, i)
	}
	return list[(i-r.perCentre)/fanOut].PeerAddr
}

// remoteParent returns the peer, in a data centre that reads from the platform,
// from which the reader with the given number in its data centre reads. It
// returns "" if its own data centre reads from the platform. Data centres that read from
// the same one follow different daemons of it, so that each of these has at most
// one follower for each of r.perCentre beyond fanOut.
func (r readers) remoteParent(daemons []view.Daemon, dataCentre string, number int) string {
	names := dataCentres(daemons)
	at := slices.Index(names, dataCentre)
	if r.centres == 0 || at < r.centres {
		return ""
	}
	list := inDataCentre(daemons, names[at%r.centres])
	return list[(number+(at/r.centres-1)*r.perCentre)%len(list)].PeerAddr
}

// inDataCentre returns the part of the list that is in a data centre. The list is
// grouped by data centre.
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

// dataCentres returns the names of the data centres in the list, in its order.
func dataCentres(daemons []view.Daemon) []string {
	var names []string
	for _, d := range daemons {
		if len(names) == 0 || names[len(names)-1] != d.DataCentre {
			names = append(names, d.DataCentre)
		}
	}
	return names
}
