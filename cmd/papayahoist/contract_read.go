package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/dispatch/contract"
)

func (c *contractCommand) list() error {
	contracts, broken, _, err := c.editor().List(c.env.Context)
	if err != nil {
		return contractError(err)
	}
	for _, err := range broken {
		c.env.Progress("unreadable: %s", cli.Message(err))
	}
	if c.json {
		return c.printJSON(contracts...)
	}
	rows := [][]string{{"CONTRACT", "REVISION", "CLASS", "WEIGHT", "RATE", "BURST", "CONCURRENCY", "MEMORY", "WAITING", "TIMEOUT"}}
	for _, one := range contracts {
		rows = append(rows, []string{
			one.Name, strconv.FormatUint(one.Revision, 10), className(one.Class), fmt.Sprint(one.Weight),
			fmt.Sprintf("%g/s", one.Rate), fmt.Sprint(one.Burst), fmt.Sprint(one.Concurrency),
			fmt.Sprintf("%.1f GiB", float64(one.MemoryBytes)/(1<<30)), fmt.Sprint(one.Waiting),
			(time.Duration(one.DefaultTimeoutMs) * time.Millisecond).String(),
		})
	}
	return c.env.Table(rows)
}

func className(class pb.Class) string {
	return strings.ToLower(strings.TrimPrefix(class.String(), "CLASS_"))
}

func (c *contractCommand) get() error {
	one, err := c.editor().Get(c.env.Context, c.name)
	if err != nil {
		return contractError(err)
	}
	return c.printOne(one)
}

func (c *contractCommand) diff() error {
	wanted, err := readContract(c.file)
	if err != nil {
		return err
	}
	changes, err := c.editor().Diff(c.env.Context, wanted)
	if err != nil {
		return contractError(err)
	}
	if c.json {
		return c.env.JSON(changes)
	}
	if len(changes) == 0 {
		c.env.Progress("no difference")
	}
	for _, change := range changes {
		fmt.Fprintln(c.env.Out, change)
	}
	return nil
}

func (c *contractCommand) history() error {
	revisions, err := c.editor().History(c.env.Context, c.name)
	if err != nil {
		return contractError(err)
	}
	if c.json {
		return c.printJSON(revisions...)
	}
	rows := [][]string{{"REVISION", "WHEN", "BY", "CHANGE ID", "CHANGED"}}
	for i, one := range revisions {
		rows = append(rows, []string{
			strconv.FormatUint(one.Revision, 10), time.UnixMilli(one.ChangedUnixMs).UTC().Format(time.RFC3339),
			one.ChangedBy, one.ChangeId, changesOf(revisions, i),
		})
	}
	return c.env.Table(rows)
}

// changesOf describes the difference of revision i to the one before it. The
// revisions are ordered from newest to oldest.
func changesOf(revisions []*pb.Contract, i int) string {
	switch {
	case revisions[i].Deleted:
		return "deleted"
	case i+1 == len(revisions):
		return ""
	}
	var all []string
	for _, change := range contract.Diff(revisions[i+1], revisions[i]) {
		all = append(all, change.String())
	}
	return strings.Join(all, ", ")
}

// readContract reads a contract from a file in JSON with comments.
func readContract(file string) (*pb.Contract, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, cli.Fail(cli.CodeUsage, err)
	}
	// Comments become spaces, so that line numbers in errors stay correct.
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, cli.Fail(cli.CodeUsage, fmt.Errorf("%s: %w", file, err))
	}
	read := &pb.Contract{}
	if err := protojson.Unmarshal(standard, read); err != nil {
		return nil, cli.Fail(cli.CodeUsage, fmt.Errorf("%s: %w", file, err))
	}
	return read, nil
}

var contractJSON = protojson.MarshalOptions{UseProtoNames: true, Multiline: true, Indent: "  "}

func (c *contractCommand) printOne(one *pb.Contract) error {
	_, err := fmt.Fprintln(c.env.Out, contractJSON.Format(editable(one)))
	return err
}

func (c *contractCommand) printJSON(all ...*pb.Contract) error {
	texts := make([]string, 0, len(all))
	for _, one := range all {
		texts = append(texts, contractJSON.Format(one))
	}
	_, err := fmt.Fprintf(c.env.Out, "[%s]\n", strings.Join(texts, ",\n"))
	return err
}

// editable returns a copy without the metadata of the last change.
func editable(one *pb.Contract) *pb.Contract {
	terms := proto.CloneOf(one)
	terms.ChangeId, terms.ChangedBy, terms.ChangedUnixMs = "", "", 0
	return terms
}
