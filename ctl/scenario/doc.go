// Package scenario contains end-to-end tests with real daemon processes on
// loopback. Scripts in testdata/scripts start a fleet, kill, freeze and partition
// its processes, and check the answers to callers against the requests that the
// backend servers ran. README.md documents the script commands. TestSoak injects
// random faults.
package scenario
