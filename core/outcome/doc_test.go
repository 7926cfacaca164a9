package outcome

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the table of kinds into docs/PATH.md")

const (
	docFile  = "../../docs/PATH.md"
	docBegin = "<!-- kinds: begin -->\n"
	docEnd   = "<!-- kinds: end -->"
)

// kindsTable returns the Markdown table of all kinds.
func kindsTable() string {
	var b strings.Builder
	b.WriteString("| number | kind | ran | status | the caller may send again | the entry waits for a new owner |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range Kinds() {
		a := k.Answer()
		fmt.Fprintf(&b, "| %d | `%s` | %s | %d | %s | %s |\n", k, a.Name, a.Ran, a.Status, yes(a.RetrySafe), yes(a.Reroutable))
	}
	return b.String()
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// The table of kinds in docs/PATH.md must match the code. Run with -update to write
// it.
func TestKindsTableMatchesDocs(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(docFile)
	is.NoErr(err)
	before, rest, ok := strings.Cut(string(data), docBegin)
	is.True(ok)
	table, after, ok := strings.Cut(rest, docEnd)
	is.True(ok)
	if *update {
		is.NoErr(os.WriteFile(docFile, []byte(before+docBegin+kindsTable()+docEnd+after), 0o644))
		return
	}
	is.Equal(table, kindsTable()) // if they differ, run with -update
}

func TestKindsAreConsistent(t *testing.T) {
	is := is.New(t)
	for _, k := range Kinds() {
		a := k.Answer()
		is.True(!a.Reroutable || a.Ran == NotRun) // only a request that did not run is rerouted
		is.True(!a.RetrySafe || a.Ran == NotRun)
	}
	is.Equal(Kind(0).Answer().Ran, MayHaveRun)
}
