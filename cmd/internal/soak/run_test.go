package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// daemonProgram builds the real program, which a soak runs as processes.
func daemonProgram(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "papayahoistd")
	out, err := exec.Command("go", "build", "-o", file, "github.com/papayahoist/papayahoist/cmd/papayahoistd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return file
}

// A short soak of real processes. Promises with a time bound are left out: a busy
// machine must not change the verdict.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	size, _ := SizeByName("small")
	schedule, err := Plan(1, 20*time.Second, size)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	report, err := Run(t.Context(), Options{Schedule: schedule, DaemonPath: daemonProgram(t), OutputDir: dir, Untimed: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := report.Err(); err != nil {
		t.Error(err)
	}
	if report.Jobs["completed"] == 0 {
		t.Errorf("no job was completed: %v", report.Jobs)
	}
	for _, name := range []string{ScheduleFile, ReportFile, "entry-0.log", "agent-2.log"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s is missing or empty: %v", name, err)
		}
	}
	if again, err := ReadSchedule(filepath.Join(dir, ScheduleFile)); err != nil || len(again.Actions) != len(schedule.Actions) {
		t.Errorf("the kept schedule can't be played again: %v", err)
	}
}

// A program that ends by itself must be found out, or a crash in the field would
// pass a soak unseen.
func TestSoakFindsAProcessThatEnds(t *testing.T) {
	t.Parallel()
	size, _ := SizeByName("small")
	schedule, _ := Plan(1, 20*time.Second, size)
	schedule.Duration, schedule.Actions, schedule.Calms = 200*time.Millisecond, nil, nil
	report, err := Run(t.Context(), Options{Schedule: schedule, DaemonPath: "/bin/false", OutputDir: t.TempDir(), Untimed: true})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Findings) == 0 || report.Findings[0].Promise != promiseStaysUp {
		t.Errorf("findings %v, want that processes don't stay up", report.Findings)
	}
}
