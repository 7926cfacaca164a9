//go:build race

package rollout

func init() { seedsDivisor = 15 }
