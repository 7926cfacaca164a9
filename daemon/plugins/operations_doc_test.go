package plugins_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

const operationsFile = "../../docs/OPERATIONS.md"

var (
	documentedAction  = regexp.MustCompile("[aA]ction\\s`([a-z_]+)`")
	documentedOutcome = regexp.MustCompile("outcome `([a-z_]+)`")
	documentedMetric  = regexp.MustCompile("`(sesamemoor_[a-z_]+)`")
	codedAction       = regexp.MustCompile(`Action:\s+"([a-z_]+)"`)
	codedMetric       = regexp.MustCompile(`"(sesamemoor_[a-z_]+)"`)
)

// matches returns the first groups of all matches in the texts.
func matches(re *regexp.Regexp, texts ...string) map[string]bool {
	found := map[string]bool{}
	for _, text := range texts {
		for _, m := range re.FindAllStringSubmatch(text, -1) {
			found[m[1]] = true
		}
	}
	return found
}

// sources returns the Go files of core and daemon except tests.
func sources(t *testing.T) []string {
	t.Helper()
	var texts []string
	for _, root := range []string{"../../core", ".."} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			texts = append(texts, string(data))
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return texts
}

// TestOperationsPageMatchesCode compares the names in docs/OPERATIONS.md with those in the
// code: every documented action, outcome and metric exists, and every placement action
// and every outcome that is logged as a warning or error is documented.
func TestOperationsPageMatchesCode(t *testing.T) {
	data, err := os.ReadFile(operationsFile)
	if err != nil {
		t.Fatal(err)
	}
	page, code := string(data), sources(t)
	kinds, warned := map[string]bool{}, map[string]bool{}
	for _, k := range outcome.Kinds() {
		kinds[k.String()] = true
		if k.Answer().Level != outcome.Info {
			warned[k.String()] = true
		}
	}
	actions := matches(codedAction, code...)
	if len(actions) == 0 {
		t.Fatal("no actions found in the code")
	}
	checkSubset(t, "documented action", matches(documentedAction, page), actions)
	checkSubset(t, "documented outcome", matches(documentedOutcome, page), kinds)
	checkSubset(t, "documented metric", matches(documentedMetric, page), matches(codedMetric, code...))
	checkSubset(t, "action in the code", actions, matches(documentedAction, page))
	checkSubset(t, "outcome logged as a warning or error", warned, matches(documentedOutcome, page))
}

// checkSubset checks that part is not empty and that whole contains all of it.
func checkSubset(t *testing.T, what string, part, whole map[string]bool) {
	t.Helper()
	if len(part) == 0 {
		t.Errorf("found no %s", what)
	}
	for name := range part {
		if !whole[name] {
			t.Errorf("%s %q is missing on the other side", what, name)
		}
	}
}
