package liveness

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTableMatchesDocs: the table that operators and developers read must be the one in force.
func TestTableMatchesDocs(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/OWNERSHIP.md")
	is.NoErr(err)
	yes := map[bool]string{true: "yes", false: "no"}
	for _, signal := range Signals() {
		for _, s := range []Server{{}, {Leaving: true}, {OpenConn: true}, {Leaving: true, OpenConn: true}} {
			c := Conclude(signal, s)
			row := fmt.Sprintf("| %s | %s | %s | %s | %s | %s |", signal, yes[s.Leaving], yes[s.OpenConn],
				yes[c.StopSending], yes[c.StopRenewing], c.Transfer)
			anyState := fmt.Sprintf("| %s | any | any | %s | %s | %s |", signal, yes[c.StopSending], yes[c.StopRenewing], c.Transfer)
			anyConn := fmt.Sprintf("| %s | %s | any | %s | %s | %s |", signal, yes[s.Leaving], yes[c.StopSending], yes[c.StopRenewing], c.Transfer)
			if !strings.Contains(string(text), row) && !strings.Contains(string(text), anyState) && !strings.Contains(string(text), anyConn) {
				t.Errorf("docs/OWNERSHIP.md has no row %q", row)
			}
		}
	}
}

// A transfer at once must need the end of the process: of a server that leaves or has an open
// connection it gave keys to others while a request ran.
func TestOnlyAnEndedProcessLosesItsKeysAtOnce(t *testing.T) {
	is := is.New(t)
	for _, signal := range Signals() {
		for _, s := range []Server{{Leaving: true}, {OpenConn: true}} {
			is.True(Conclude(signal, s).Transfer != AtOnce)
		}
	}
	is.Equal(Conclude(Refused, Server{}).Transfer, AtOnce)
}
