// Package scenario holds scripted scenarios with real daemon processes on
// loopback: the tests start fleets, kill, freeze and cut processes from each
// other, and check what callers and backend servers saw. See README.md for the
// commands of the scripts.
package scenario
