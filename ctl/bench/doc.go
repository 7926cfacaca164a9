// Package bench runs experiments on the policies: it starts a deployment on
// loopback as plain processes, sends a seeded load, switches faults, and
// compares variants of the settings by what callers and backend servers saw.
package bench
