package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
)

func TestCheckExitCodes(t *testing.T) {
	valid := `{"slot": "d1", "data_centre": "a", "region": "r",
	"peer_addr": "127.0.0.1:1", "witness_addr": "127.0.0.1:2", "entry_addr": "127.0.0.1:3", "admin_addr": "127.0.0.1:4",
	"platform_url": "http://127.0.0.1:5", "key_hash_secret": "0123456789abcdef"} // comment`
	cases := []struct {
		name, text string
		args       int
		want       subcommands.ExitStatus
	}{
		{"valid", valid, 1, subcommands.ExitSuccess},
		{"faulty", `{"slot": 1}`, 1, exitSettings},
		{"no file named", valid, 0, exitSettings},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
			f := flag.NewFlagSet("check", flag.ContinueOnError)
			is.NoErr(f.Parse([]string{path}[:c.args]))
			is.Equal(new(checkCommand).Execute(context.Background(), f), c.want)
		})
	}
}
