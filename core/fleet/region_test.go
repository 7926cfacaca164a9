package fleet

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A team's bucket is kept in one region: with services in two, it would get its
// rate in each.
func TestTeamsStayWithinOneRegion(t *testing.T) {
	is := is.New(t)
	doc := `{"services":{"a":{"region":"north","shards":1},"b":{"region":"REGION","shards":1}},
		"teams":{"t":{"rate":1,"burst":1,"services":["a","b"]}}}`
	_, err := Parse([]byte(strings.ReplaceAll(doc, "REGION", "north")))
	is.NoErr(err)
	_, err = Parse([]byte(strings.ReplaceAll(doc, "REGION", "south")))
	is.True(errors.Is(err, ErrInvalid))
	is.True(strings.Contains(err.Error(), "teams.t.services"))
}
