package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// manyRoutes returns a document with n routes; the last changed of them differ by mark.
func manyRoutes(t testing.TB, n, changed int, mark string) []byte {
	c := Config{
		Services:     map[string]Service{"a": {Region: "r", Keyless: true}},
		CallerLimits: CallerLimits{MaxHeaderBytes: 1 << 14},
	}
	for i := range n {
		name := fmt.Sprintf("r-%d", i)
		if i >= n-changed {
			name += mark
		}
		c.HostRoutes = append(c.HostRoutes, HostRoute{
			Name: name, Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i), TimeoutMS: 800, TargetMS: 300, MaxTries: 2,
			Targets: []WeightedRoute{{Service: "a", Weight: 90}, {Service: "a", Weight: 10}},
		})
	}
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A version that differs in few of its many routes was decoded as a whole: on hosts with a
// small share of a processor nothing else ran meanwhile, and links to peers were closed.
func TestVersionWithManyRoutesIsDecodedAsAWhole(t *testing.T) {
	is := is.New(t)
	const routes, changed = 4200, 10
	h := NewHistory()
	apply := func(version uint64, data []byte) Verdict {
		return h.applyPublished(&wire.Published{Version: version, Document: data})
	}
	is.True(apply(1, manyRoutes(t, routes, changed, "")).Accepted)
	versions := [][]byte{manyRoutes(t, routes, changed, "x"), manyRoutes(t, routes, changed, "y")}
	version := uint64(1)
	allocs := testing.AllocsPerRun(4, func() {
		version++
		is.True(apply(version, versions[version%2]).Accepted)
	})
	is.True(allocs < routes/4) // decoding a route takes several allocations
	is.Equal(len(h.Config.HostRoutes), routes)
	want, err := Parse(versions[version%2])
	is.NoErr(err)
	is.Equal(h.published, want)
}

// A Parser gives the result of Parse, whatever it parsed before.
func TestParserForgetsWhatIsInvalid(t *testing.T) {
	var p Parser
	service := `"services":{"a":{"region":"r","shards":0,"keyless":true}}`
	route := `{"name":"x","host":"h","prefix":"/p/","targets":[{"service":"a","weight":1}]}`
	for _, doc := range []string{
		`{` + service + `,"host_routes":[` + route + `]}`,
		`{` + service + `,"host_routes":[` + route + `,` + route + `]}`,
		`{"services":{},"host_routes":[` + route + `]}`, // a known route without its service
		`{` + service + `,"host_routes":[` + route + `,{"name":"x","odd":1}]}`,
		`{` + service + `,"host_routes":[` + route + `,{"name":7}]}`,
		`{` + service + `,"host_routes":[` + route + `,]}`,
		`{` + service + `,"host_routes":[` + route + `],"host_routes":[]}`,
		`{` + service + `,"Host_Routes":[` + route + `],"host_routes":[]}`,
		`{` + service + `,"host_routes":[null]}`,
		`{` + service + `,"host_routes":[` + route + `]} {}`,
		`{"host_routes":[` + route + `],` + service + `}`,
		`{` + service + `}`,
		`{}`, ``, `[]`,
	} {
		want, wantErr := Parse([]byte(doc))
		got, err := p.Parse([]byte(doc))
		is := is.New(t)
		is.Equal(fmt.Sprint(err), fmt.Sprint(wantErr))
		is.Equal(got, want)
	}
}

func BenchmarkNextVersion(b *testing.B) {
	var p Parser
	versions := [][]byte{manyRoutes(b, 4200, 10, "x"), manyRoutes(b, 4200, 10, "y")}
	for i := 0; b.Loop(); i++ {
		if _, err := p.Parse(versions[i%2]); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFirstVersion(b *testing.B) {
	data := manyRoutes(b, 4200, 10, "x")
	for b.Loop() {
		if _, err := new(Parser).Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}
