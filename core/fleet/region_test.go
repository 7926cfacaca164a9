package fleet

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTeamsStayWithinOneRegion guards against a team with services in two regions. A
// team's bucket is per region, so the team would get its rate in each of them.
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
