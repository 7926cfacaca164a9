// Package bench compares the router's policies by experiment. It runs each variant
// of a scenario on its own deployment of processes on loopback, sends the same
// seeded load, injects the same faults, and reports what callers, backend servers,
// daemons and the placement stream recorded. Variants run one after the other, so
// that they do not compete for the host.
package bench
