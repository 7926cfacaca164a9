package control

import (
	"cmp"
	"time"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/lease"
)

// leaseTargets is the length of a lease in latency targets. Most runs end within one; a run
// that begins before the renewal of its hold has less than half of the lease.
const leaseTargets = 4

// leaseTerm returns the length of the leases of a service's members. A daemon decides it
// when it joins; it stands in the join record and stays for the incarnation.
//
// A backend server holds its keys as long as the lease of its daemon, and ends work that
// outlasts its hold. A key whose owner is lost is unserved for as long. So a lease lasts for
// some latency targets of the service's slowest route, which tell how long its runs take. A
// service of short runs, and one without keys, keeps the shortest lease. While the
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
				longest = max(longest, time.Duration(cmp.Or(route.TargetMS, route.TimeoutMS))*time.Millisecond)
			}
		}
	}
	return min(max(p.Term, leaseTargets*longest), p.Longest())
}
