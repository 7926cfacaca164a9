package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/ctl/operator"
)

// Merge patches (RFC 7396) of single commands. A nil *teamEdit removes the team.
type (
	configEdit struct {
		Teams          map[string]*teamEdit `json:"teams,omitempty"`
		DataCentres    map[string]outEdit   `json:"data_centres,omitempty"`
		BackendServers map[string]outEdit   `json:"backend_servers,omitempty"`
	}
	teamEdit struct {
		Rate        *float64                   `json:"rate,omitempty"`
		Burst       *float64                   `json:"burst,omitempty"`
		Services    []string                   `json:"services,omitempty"`
		DataCentres []string                   `json:"data_centres,omitempty"`
		Keys        map[string]fleet.CallerKey `json:"keys,omitempty"`
	}
	outEdit struct {
		Out bool `json:"out"`
	}
)

func teamCommands() []subcommands.Command {
	return []subcommands.Command{teamSet(), teamRemove(), teamList()}
}

func teamSet() subcommands.Command {
	var change changeFlags
	var rate, burst float64
	var services, dataCentres string
	return &action{name: "set", usage: "[FLAGS] TEAM", args: 1, synopsis: "create a team or change its limits and access",
		flags: func(f *flag.FlagSet) {
			change.set(f)
			f.Float64Var(&rate, "rate", -1, "requests per second, fleet-wide; -1 keeps it")
			f.Float64Var(&burst, "burst", -1, "requests that may arrive at once; -1 keeps it")
			f.StringVar(&services, "services", "", "services that it may use, separated by commas; empty keeps them")
			f.StringVar(&dataCentres, "data-centres", "", "data centres that it may use, separated by commas; empty keeps them")
		},
		run: func(ctx context.Context, env *environment, args []string) error {
			edit := &teamEdit{Services: splitList(services), DataCentres: splitList(dataCentres)}
			if rate >= 0 {
				edit.Rate = &rate
			}
			if burst >= 0 {
				edit.Burst = &burst
			}
			return change.apply(ctx, env, func(*fleet.Config) ([]byte, error) {
				return json.Marshal(configEdit{Teams: map[string]*teamEdit{args[0]: edit}})
			})
		}}
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// findTeam returns the team, or an error that wraps operator.ErrRejected.
func findTeam(c *fleet.Config, name string) (fleet.Team, error) {
	t, ok := c.Teams[name]
	if !ok {
		return fleet.Team{}, fmt.Errorf("%w: no team %q", operator.ErrRejected, name)
	}
	return t, nil
}

func teamRemove() subcommands.Command {
	var change changeFlags
	return &action{name: "remove", usage: "[FLAGS] TEAM", args: 1, synopsis: "remove a team with its caller keys", flags: change.set,
		run: func(ctx context.Context, env *environment, args []string) error {
			return change.apply(ctx, env, func(c *fleet.Config) ([]byte, error) {
				if _, err := findTeam(c, args[0]); err != nil {
					return nil, err
				}
				return json.Marshal(configEdit{Teams: map[string]*teamEdit{args[0]: nil}})
			})
		}}
}

// teamRow is a line of team list.
type teamRow struct {
	Team        string   `json:"team"`
	Rate        float64  `json:"rate"`
	Burst       float64  `json:"burst"`
	Services    []string `json:"services"`
	DataCentres []string `json:"data_centres,omitempty"`
	Keys        int      `json:"keys"` // not withdrawn
}

func teamList() subcommands.Command {
	return &action{name: "list", synopsis: "list the teams", run: func(ctx context.Context, env *environment, _ []string) error {
		history, _, err := env.config().Replay(ctx)
		if err != nil {
			return err
		}
		rows := []teamRow{}
		for _, name := range slices.Sorted(maps.Keys(history.Config.Teams)) {
			t := history.Config.Teams[name]
			rows = append(rows, teamRow{name, t.Rate, t.Burst, t.Services, t.DataCentres, countValidKeys(t)})
		}
		return env.print(rows, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "TEAM\tRATE\tBURST\tSERVICES\tDATA CENTRES\tKEYS")
			for _, r := range rows {
				allowed := strings.Join(r.DataCentres, ",")
				if allowed == "" {
					allowed = "all"
				}
				fmt.Fprintf(w, "%s\t%g\t%g\t%s\t%s\t%d\n", r.Team, r.Rate, r.Burst, strings.Join(r.Services, ","), allowed, r.Keys)
			}
		})
	}}
}

// countValidKeys returns the number of keys of a team that are not withdrawn.
func countValidKeys(t fleet.Team) int {
	n := 0
	for _, k := range t.Keys {
		if !k.Withdrawn {
			n++
		}
	}
	return n
}

func keyCommands() []subcommands.Command {
	return []subcommands.Command{keyIssue(), keyWithdraw(), keyList()}
}

// issuedKey is the printed result of key issue.
type issuedKey struct {
	Team    string `json:"team"`
	KeyID   string `json:"key_id"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

func keyIssue() subcommands.Command {
	var change changeFlags
	return &action{name: "issue", usage: "[FLAGS] TEAM KEY-ID", args: 2, synopsis: "issue a caller key; it is printed once and not stored", flags: change.set,
		run: func(ctx context.Context, env *environment, args []string) error {
			if len(env.set.KeyHashSecret) < keyhash.MinSecretBytes {
				return fmt.Errorf("%w: key_hash_secret of at least %d bytes is required", errUsage, keyhash.MinSecretBytes)
			}
			key, err := keyhash.Generate()
			if err != nil {
				return err
			}
			team, id := args[0], args[1]
			entry := fleet.CallerKey{Hash: keyhash.Sum([]byte(env.set.KeyHashSecret), key)}
			version, err := env.config().Apply(ctx, func(c *fleet.Config) ([]byte, error) {
				return addKeyPatch(c, team, id, entry)
			}, change.comment, change.retries())
			if err != nil {
				return err
			}
			return env.print(issuedKey{team, id, key, version}, func(w *tabwriter.Writer) { fmt.Fprintln(w, key) })
		}}
}

// addKeyPatch returns the patch that adds a caller key to a team. The team must exist
// and must not have a key with this id.
func addKeyPatch(c *fleet.Config, team, id string, key fleet.CallerKey) ([]byte, error) {
	t, err := findTeam(c, team)
	if err != nil {
		return nil, err
	}
	if _, dup := t.Keys[id]; dup {
		return nil, fmt.Errorf("%w: team %q has a key %q already", operator.ErrRejected, team, id)
	}
	return keyPatch(team, id, key)
}

func keyPatch(team, id string, key fleet.CallerKey) ([]byte, error) {
	edit := &teamEdit{Keys: map[string]fleet.CallerKey{id: key}}
	return json.Marshal(configEdit{Teams: map[string]*teamEdit{team: edit}})
}

func keyWithdraw() subcommands.Command {
	var change changeFlags
	return &action{name: "withdraw", usage: "[FLAGS] TEAM KEY-ID", args: 2, synopsis: "withdraw a caller key", flags: change.set,
		run: func(ctx context.Context, env *environment, args []string) error {
			return change.apply(ctx, env, func(c *fleet.Config) ([]byte, error) {
				t, err := findTeam(c, args[0])
				if err != nil {
					return nil, err
				}
				key, ok := t.Keys[args[1]]
				if !ok {
					return nil, fmt.Errorf("%w: team %q has no key %q", operator.ErrRejected, args[0], args[1])
				}
				key.Withdrawn = true
				return keyPatch(args[0], args[1], key)
			})
		}}
}

// keyRow is a line of key list.
type keyRow struct {
	Team      string `json:"team"`
	KeyID     string `json:"key_id"`
	Withdrawn bool   `json:"withdrawn"`
}

func keyList() subcommands.Command {
	return &action{name: "list", synopsis: "list the ids of all caller keys", run: func(ctx context.Context, env *environment, _ []string) error {
		history, _, err := env.config().Replay(ctx)
		if err != nil {
			return err
		}
		rows := []keyRow{}
		for _, team := range slices.Sorted(maps.Keys(history.Config.Teams)) {
			keys := history.Config.Teams[team].Keys
			for _, id := range slices.Sorted(maps.Keys(keys)) {
				rows = append(rows, keyRow{team, id, keys[id].Withdrawn})
			}
		}
		return env.print(rows, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "TEAM\tKEY\tWITHDRAWN")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%t\n", r.Team, r.KeyID, r.Withdrawn)
			}
		})
	}}
}
