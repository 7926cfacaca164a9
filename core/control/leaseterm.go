package control

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/lease"
)

// holdReserve is the part of a lease that passes before a run begins: the time since the
// last renewal of the lease and of the hold under it.
const holdReserve = 1300 * time.Millisecond

// leaseTerm returns the length of the leases of a service's members. A daemon decides it
// when it joins; it stands in the join record and stays for the incarnation.
//
// A backend server holds its keys as long as the lease of its daemon, and ends work that
// outlasts its hold. So a lease lasts for a run of the longest timeout that a route of the
// service allows. A key whose owner is lost is unserved for as long. A service whose
// routes allow short runs only, and one without keys, keeps the shortest lease. While the
// configuration is not known, the lease is the longest.
func leaseTerm(p lease.Params, cfg *fleet.Config, service string) time.Duration {
	svc, known := cfg.Services[service]
	if !known {
		return p.Longest()
	}
	if svc.KeySpace == 0 {
		return p.Term
	}
	longest := time.Duration(0)
	for _, route := range cfg.HostRoutes {
		for _, target := range route.Targets {
			if target.Service == service {
				longest = max(longest, time.Duration(route.TimeoutMS)*time.Millisecond)
			}
		}
	}
	return min(max(p.Term, longest+holdReserve), p.Longest())
}
