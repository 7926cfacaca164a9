package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

type configPatchCommand struct {
	platform string
	base     uint64
}

func (*configPatchCommand) Name() string     { return "config-patch" }
func (*configPatchCommand) Synopsis() string { return "apply a merge patch from standard input" }
func (*configPatchCommand) Usage() string    { return "config-patch -base VERSION < PATCH\n" }
func (c *configPatchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "http://127.0.0.1:7000", "URL of the platform's log")
	f.Uint64Var(&c.base, "base", 0, "version that the patch is based on")
}

func (c *configPatchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	patch, err := io.ReadAll(os.Stdin)
	if err == nil {
		err = c.patch(ctx, patch)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sesamemoorctl:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *configPatchCommand) patch(ctx context.Context, patch []byte) error {
	log := logstream.NewHTTP(c.platform)
	id := uuid.New()
	rec := &wire.Record{Id: id[:], Version: fleet.RecordVersion, Body: &wire.Record_ConfigPatch{
		ConfigPatch: &wire.ConfigPatch{BaseVersion: c.base, MergePatch: patch}}}
	data, err := proto.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	offset, err := log.Append(ctx, logstream.ConfigStream, data)
	if err != nil {
		return err
	}
	batch, err := log.Read(ctx, logstream.ConfigStream, 1, 1<<20, 0)
	if err != nil {
		return err
	}
	history := fleet.NewHistory()
	for _, e := range batch.Records {
		_, verdict := history.Apply(e.Offset, e.Data)
		if e.Offset != offset {
			continue
		}
		if !verdict.Accepted {
			return fmt.Errorf("rejected: %s", verdict.Reason)
		}
		fmt.Printf("version %d\n", verdict.Version)
	}
	return nil
}
