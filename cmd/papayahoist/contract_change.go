package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/node/config"
)

func (c *contractCommand) apply() error {
	wanted, err := readContract(c.file)
	if err != nil {
		return err
	}
	return c.change(wanted, c.rebase)
}

// remove deletes the contract at its current revision. A concurrent change is a
// conflict.
func (c *contractCommand) remove() error {
	held, err := c.editor().Get(c.env.Context, c.name)
	if err != nil {
		return contractError(err)
	}
	return c.change(&pb.Contract{Name: held.Name, Revision: held.Revision, Deleted: true}, false)
}

func (c *contractCommand) change(wanted *pb.Contract, rebase bool) error {
	revision, err := c.editor().Apply(c.env.Context, contract.Change{
		Contract: wanted, ID: c.newChangeID(), Author: c.by, At: time.Now(), Rebase: rebase,
	})
	return c.report(wanted.Name, revision, err)
}

func (c *contractCommand) rollback() error {
	revision, err := c.editor().Rollback(c.env.Context, c.name, c.revision, c.newChangeID(), c.by, time.Now())
	return c.report(c.name, revision, err)
}

// applied is the output of a change with --json.
type applied struct {
	Contract string   `json:"contract"`
	Revision uint64   `json:"revision"`
	ChangeID string   `json:"change_id"`
	InForce  bool     `json:"in_force"`
	Missing  []string `json:"missing,omitempty"`
}

func (c *contractCommand) report(name string, revision uint64, err error) error {
	if err != nil {
		if errorx.IsOfType(err, config.ErrOutcomeUnknown) {
			c.env.Progress("repeat the command with --change-id %s to find out; the change is applied at most once", c.changeID)
		}
		return contractError(err)
	}
	result := applied{Contract: name, Revision: revision, ChangeID: c.changeID}
	if !c.json {
		fmt.Fprintf(c.env.Out, "contract %s is at revision %d (change %s)\n", name, revision, c.changeID)
	}
	if c.wait > 0 {
		if result.Missing, err = c.awaitInForce(revision); err != nil {
			return err
		}
		result.InForce = len(result.Missing) == 0
	}
	if c.json {
		if err := c.env.JSON(result); err != nil {
			return err
		}
	}
	if len(result.Missing) > 0 {
		return fmt.Errorf("applied, but not known to be in force at: %s", strings.Join(result.Missing, ", "))
	}
	if c.wait > 0 && !c.json {
		fmt.Fprintf(c.env.Out, "in force on every process\n")
	}
	return nil
}

// inForcePollInterval is the interval at which processes are queried until a change
// is in force.
const inForcePollInterval = 100 * time.Millisecond

// awaitInForce waits until the revision is in force on every process. After the time
// limit it returns the processes that don't have it or don't answer.
func (c *contractCommand) awaitInForce(revision uint64) ([]string, error) {
	options, err := c.fleet.options()
	if err != nil {
		return nil, err
	}
	limit := time.Now().Add(c.wait)
	for {
		found, err := fleet.Discover(c.env.Context, options)
		if err != nil {
			return nil, fmt.Errorf("applied, but no process answers whether it is in force: %w", err)
		}
		missing := processesBehind(found, revision)
		if len(missing) == 0 || time.Now().After(limit) {
			return missing, nil
		}
		select {
		case <-c.env.Context.Done():
			return missing, nil
		case <-time.After(inForcePollInterval):
		}
	}
}

// processesBehind returns the processes that are not known to have the revision in
// force.
func processesBehind(found *fleet.Fleet, revision uint64) []string {
	var missing []string
	for _, failure := range found.Failures {
		missing = append(missing, fmt.Sprintf("%s (%s)", failure.Process.Title(), failure.Reason()))
	}
	agents := map[string]uint64{}
	for _, status := range found.Statuses {
		if status.ConfigRevision < revision {
			missing = append(missing, status.Process)
		}
		for _, agent := range status.Agents {
			name := agent.GetHello().GetAgent()
			agents[name] = max(agents[name], agent.ConfigRevision)
		}
	}
	for name, holds := range agents {
		// Revision zero: the agent holds no contracts, and receives them from the
		// entries with each task.
		if holds > 0 && holds < revision {
			missing = append(missing, name)
		}
	}
	return missing
}

// contractError attaches to an editor's error its exit code, and to a conflict the
// concurrent changes.
func contractError(err error) error {
	switch {
	case errorx.IsOfType(err, contract.ErrInvalid):
		return cli.Fail(cli.CodeUsage, err)
	case errorx.IsOfType(err, contract.ErrConflict):
		return cli.Fail(cli.CodeConflict, withConflictingChanges(err))
	case errorx.IsOfType(err, contract.ErrNotFound):
		return cli.Fail(cli.CodeNotFound, err)
	case errorx.IsOfType(err, config.ErrOutcomeUnknown):
		return cli.Fail(cli.CodeUnknown, err)
	case errorx.IsOfType(err, config.ErrUnavailable), errorx.IsOfType(err, config.ErrRefused):
		return cli.Fail(cli.CodeNotRun, err)
	default:
		return err
	}
}

// withConflictingChanges joins to err the changes made since the expected revision.
func withConflictingChanges(err error) error {
	all := []error{err}
	for _, change := range contract.Changes(err) {
		all = append(all, fmt.Errorf("changed since: %s", change))
	}
	return errors.Join(all...)
}
