package control

import (
	"strconv"
	"strings"
)

// BootName names one boot of a backend server. bootTime is the start of the boot in
// milliseconds since 1970, or 0 if unspecified.
func BootName(id string, bootTime int64) string { return id + "@" + strconv.FormatInt(bootTime, 10) }

// isLaterBoot reports whether name is certainly that of a later boot than earlier. Names
// that BootName did not return, or without a boot time, are in no order.
func isLaterBoot(name, earlier string) bool {
	present, past := bootTimeOf(name), bootTimeOf(earlier)
	return past > 0 && present > past
}

// bootTimeOf returns the boot time in a name that BootName returned, or 0.
func bootTimeOf(name string) int64 {
	bootTime, err := strconv.ParseInt(name[strings.LastIndex(name, "@")+1:], 10, 64)
	if err != nil {
		return 0
	}
	return bootTime
}
