package scenario

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const repositoryRoot = "../.."

var (
	testName   = regexp.MustCompile("`((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)`")
	scriptName = regexp.MustCompile("`([a-z][a-z0-9]*(?:_[a-z0-9]+)+)`")
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)\(`)
)

// Every test and script named in docs/PROMISES.md must exist.
func TestPromisesNameExistingTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/PROMISES.md"))
	is.NoErr(err)
	tests := allTests(t)
	names := testName.FindAllSubmatch(page, -1)
	is.True(len(names) > 30)
	for _, m := range names {
		if !tests[string(m[1])] {
			t.Errorf("test %s does not exist", m[1])
		}
	}
	scripts := scriptName.FindAllSubmatch(page, -1)
	is.True(len(scripts) > 20)
	for _, m := range scripts {
		if _, err := os.Stat(filepath.Join("testdata/scripts", string(m[1])+".txtar")); err != nil {
			t.Errorf("script %s does not exist", m[1])
		}
	}
}

func allTests(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllSubmatch(data, -1) {
			found[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
