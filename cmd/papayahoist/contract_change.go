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

// remove deletes what the contract is now: a change made meanwhile is a conflict.
func (c *contractCommand) remove() error {
	held, err := c.editor().Get(c.env.Context, c.name)
	if err != nil {
		return contractFailure(err)
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

// applied is what a change prints with --json.
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
			c.env.Progress("repeat the command with --change-id %s to find out; nothing is changed twice", c.changeID)
		}
		return contractFailure(err)
	}
	result := applied{Contract: name, Revision: revision, ChangeID: c.changeID}
	if !c.json {
		fmt.Fprintf(c.env.Out, "contract %s is at revision %d (change %s)\n", name, revision, c.changeID)
	}
	if c.wait > 0 {
		if result.Missing, err = c.awaitForce(revision); err != nil {
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

// forcePoll is how often processes are asked while a change comes into force.
const forcePoll = 100 * time.Millisecond

// awaitForce waits until every process holds the revision, and names those that
// don't or can't be reached when the time is up.
func (c *contractCommand) awaitForce(revision uint64) ([]string, error) {
	options, err := c.fleet.options()
	if err != nil {
		return nil, err
	}
	limit := time.Now().Add(c.wait)
	for {
		found, err := fleet.Discover(c.env.Context, options)
		if err != nil {
			return nil, fmt.Errorf("applied, but nobody says whether it is in force: %w", err)
		}
		missing := behind(found, revision)
		if len(missing) == 0 || time.Now().After(limit) {
			return missing, nil
		}
		select {
		case <-c.env.Context.Done():
			return missing, nil
		case <-time.After(forcePoll):
		}
	}
}

// behind names the processes that are not known to hold the revision.
func behind(found *fleet.Fleet, revision uint64) []string {
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
		// Agents that hold no contracts take them from entries with each task.
		if holds > 0 && holds < revision {
			missing = append(missing, name)
		}
	}
	return missing
}

// contractFailure gives an editor's error its exit code and the details that an
// operator needs.
func contractFailure(err error) error {
	switch {
	case errorx.IsOfType(err, contract.ErrInvalid):
		return cli.Fail(cli.CodeUsage, err)
	case errorx.IsOfType(err, contract.ErrConflict):
		return cli.Fail(cli.CodeConflict, conflict(err))
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

// conflict lists what others changed meanwhile.
func conflict(err error) error {
	all := []error{err}
	for _, change := range contract.Changes(err) {
		all = append(all, fmt.Errorf("changed since: %s", change))
	}
	return errors.Join(all...)
}
