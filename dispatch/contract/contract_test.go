package contract

import (
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"
)

func desk(edit func(*pb.Contract)) *pb.Contract {
	c := WithDefaults(&pb.Contract{Name: "desk", Rate: 10, Concurrency: 8, MemoryBytes: 1 << 30, Waiting: 100})
	if edit != nil {
		edit(c)
	}
	return c
}

func TestValidate(t *testing.T) {
	tests := []struct {
		field string
		edit  func(*pb.Contract)
	}{
		{"", nil},
		{"", func(c *pb.Contract) { c.Rate, c.Burst, c.Concurrency, c.Waiting, c.MemoryBytes = 0, 0, 0, 0, 0 }},
		{"name", func(c *pb.Contract) { c.Name = "" }},
		{"name", func(c *pb.Contract) { c.Name = "Desk" }},
		{"name", func(c *pb.Contract) { c.Name = "a/b" }},
		{"name", func(c *pb.Contract) { c.Name = strings.Repeat("a", 64) }},
		{"class", func(c *pb.Contract) { c.Class = 9 }},
		{"class", func(c *pb.Contract) { c.Class = 0 }},
		{"weight", func(c *pb.Contract) { c.Weight = 1001 }},
		{"weight", func(c *pb.Contract) { c.Weight = 0 }},
		{"rate", func(c *pb.Contract) { c.Rate = math.NaN() }},
		{"rate", func(c *pb.Contract) { c.Rate = math.Inf(1) }},
		{"rate", func(c *pb.Contract) { c.Rate = -1 }},
		{"burst", func(c *pb.Contract) { c.Burst = 0 }},
		{"burst", func(c *pb.Contract) { c.Burst = MaxBurst + 1 }},
		{"concurrency", func(c *pb.Contract) { c.Concurrency = MaxConcurrency + 1 }},
		{"memory_bytes", func(c *pb.Contract) { c.MemoryBytes = MaxMemoryBytes + 1 }},
		{"waiting", func(c *pb.Contract) { c.Waiting = MaxWaiting + 1 }},
		{"default_timeout_ms", func(c *pb.Contract) { c.DefaultTimeoutMs = 9 }},
		{"default_timeout_ms", func(c *pb.Contract) { c.DefaultTimeoutMs = 600_001 }},
		{"token_sha256", func(c *pb.Contract) { c.TokenSha256 = "secret" }},
	}
	for _, tt := range tests {
		c := desk(tt.edit)
		fields := FieldErrors(Validate(c))
		if tt.field == "" && len(fields) == 0 {
			continue
		}
		if len(fields) != 1 || fields[0].Field != tt.field || fields[0].Allowed == "" || fields[0].Value == "" {
			t.Errorf("%v: got %+v, want one error of %q", c, fields, tt.field)
		}
	}
}

func TestRecordKeepsItsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := desk(func(c *pb.Contract) {
			c.Weight = rapid.Uint32Range(1, MaxWeight).Draw(t, "weight")
			c.Rate = rapid.Float64Range(0, MaxRate).Draw(t, "rate")
			c.MemoryBytes = rapid.Uint64Range(0, MaxMemoryBytes).Draw(t, "memory")
			c.ChangedBy = rapid.String().Draw(t, "by")
		})
		c.ChangedBy = strings.ToValidUTF8(c.ChangedBy, "")
		in := &pb.ContractRecord{Contract: c, History: []*pb.Contract{desk(func(c *pb.Contract) { c.Revision = 3 })}}
		text, err := Encode(in)
		if err != nil {
			t.Fatal(err)
		}
		out, err := Decode(Key("desk"), text, 7)
		if err != nil {
			t.Fatal(err)
		}
		want := proto.CloneOf(in)
		want.Contract.Revision = 7
		if diff := cmp.Diff(want, out, protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Somebody writes to the store past this program. Entries must neither crash nor
// put nonsense in force.
func TestMalformedRecords(t *testing.T) {
	for _, text := range []string{"", "{}", "null", "[", `{"contract":{"name":"other"}}`, `{"contract":{"name":"desk","weight":-1}}`,
		`{"contract":{"name":"desk","weight":100000,"class":1}}`} {
		if r, err := Decode(Key("desk"), []byte(text), 1); !errorx.IsOfType(err, ErrMalformed) {
			t.Errorf("%q: got %v", text, r)
		}
	}
}

func FuzzDecode(f *testing.F) {
	text, _ := Encode(&pb.ContractRecord{Contract: desk(nil)})
	f.Add(text)
	f.Add([]byte(`{"contract":{"name":"desk","deleted":true}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Decode(Key("desk"), text, 1)
		if err != nil {
			return
		}
		if err := Validate(r.Contract); err != nil || r.Contract.Name != "desk" || r.Contract.Revision != 1 {
			t.Errorf("accepted %v: %v", r.Contract, err)
		}
	})
}

// written puts a change on a record as the store would, at the given revision.
func written(t *testing.T, held *pb.ContractRecord, change Change, revision uint64) *pb.ContractRecord {
	t.Helper()
	plan, err := Make(change, held)
	if err != nil || plan.Applied != 0 || plan.Prev != held.GetContract().GetRevision() {
		t.Fatalf("Make = %+v, %v", plan, err)
	}
	plan.Record.Contract.Revision = revision
	return plan.Record
}

func change(id string, from uint64, edit func(*pb.Contract)) Change {
	c := desk(edit)
	c.Revision = from
	return Change{Contract: c, ID: id, By: "ann", At: time.Unix(100, 0)}
}

// Two operators start from the same revision. The later one must not undo the
// other's change unseen: it is told what changed, and may put its own on top as
// long as both did not change the same term.
func TestRacingOperators(t *testing.T) {
	first := written(t, nil, change("c1", 0, nil), 5)
	second := written(t, first, change("c2", 5, func(c *pb.Contract) { c.Concurrency = 20 }), 8)

	late := change("c3", 5, func(c *pb.Contract) { c.Waiting = 7 })
	_, err := Make(late, second)
	if diff := cmp.Diff([]FieldChange{{"concurrency", "8", "20"}}, Changes(err)); diff != "" || !errorx.IsOfType(err, ErrConflict) {
		t.Errorf("late change: %v\n%s", err, diff)
	}
	late.Rebase = true
	third := written(t, second, late, 9)
	if c := third.Contract; c.Concurrency != 20 || c.Waiting != 7 || c.ChangeId != "c3" || c.ChangedUnixMs != 100_000 {
		t.Errorf("rebased: %v", c)
	}
	clash := change("c4", 5, func(c *pb.Contract) { c.Concurrency = 30 })
	clash.Rebase = true
	if _, err := Make(clash, third); len(Changes(err)) != 1 || Changes(err)[0].Field != "concurrency" {
		t.Errorf("clash: %v", err)
	}
	for name, c := range map[string]Change{
		"creation of what exists": change("c5", 0, nil),
		"unknown revision":        change("c6", 4, nil),
	} {
		if _, err := Make(c, third); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if _, err := Make(change("c7", 3, nil), nil); err == nil {
		t.Error("a change of a contract that does not exist was accepted")
	}
}

// The answer to a change is lost. The operator asks again, perhaps after others
// have made changes: it must hear the truth, and the change must not be made twice.
func TestLostAnswer(t *testing.T) {
	first := written(t, nil, change("c1", 0, nil), 5)
	mine := change("mine", 5, func(c *pb.Contract) { c.Weight = 2 })
	applied := written(t, first, mine, 6)
	overtaken := written(t, first, change("theirs", 5, nil), 6)
	buried, long := applied, overtaken
	for i := range uint64(MaxHistory + 1) {
		buried = written(t, buried, change("x"+string(rune('a'+i)), buried.Contract.Revision, nil), 10+i)
		long = written(t, long, change("y"+string(rune('a'+i)), long.Contract.Revision, nil), 10+i)
	}
	tests := []struct {
		name string
		held *pb.ContractRecord
		want Resolution
		at   uint64
	}{
		{"applied", applied, Applied, 6},
		{"applied, with another on top", written(t, applied, change("c9", 6, nil), 7), Applied, 6},
		{"may be under way", first, NotKnown, 5},
		{"another came first", overtaken, NotApplied, 6},
		{"applied, out of the history", buried, NotKnown, 10 + MaxHistory},
		{"not applied, out of the history", long, NotKnown, 10 + MaxHistory},
	}
	for _, tt := range tests {
		if got, at := Resolve(tt.held, "mine", 5); got != tt.want || at != tt.at {
			t.Errorf("%s: %v at %d, want %v at %d", tt.name, got, at, tt.want, tt.at)
		}
	}
	if plan, err := Make(mine, applied); err != nil || plan.Applied != 6 {
		t.Errorf("the same change again: %+v, %v", plan, err)
	}
}

func TestRollbackAndDeletion(t *testing.T) {
	record := written(t, nil, change("c1", 0, nil), 5)
	record = written(t, record, change("c2", 5, func(c *pb.Contract) { c.Weight = 9 }), 6)
	record = written(t, record, change("c3", 6, func(c *pb.Contract) { c.Deleted = true }), 7)
	back, err := Rollback(record, 6)
	if err != nil {
		t.Fatal(err)
	}
	record = written(t, record, Change{Contract: back, ID: "c4", By: "bob", At: time.Unix(200, 0)}, 8)
	if c := record.Contract; c.Weight != 9 || c.Deleted || c.ChangedBy != "bob" || len(record.History) != 3 {
		t.Errorf("record = %v", record)
	}
	if _, err := Rollback(record, 4); !errorx.IsOfType(err, ErrNotFound) {
		t.Errorf("rollback to a revision that never was: %v", err)
	}
}

// Old reads of the store, late messages and peers that were cut off bring back
// revisions in any order and any number of times. A contract that jumps back, or
// one that was deleted and lives again, is a promise broken to a customer.
func TestRegistryNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry()
		highest := map[string]uint64{}
		var covered uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			batch := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *pb.Contract {
				return &pb.Contract{
					Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Revision: rapid.Uint64Range(1, 20).Draw(t, "revision"),
					Deleted: rapid.Bool().Draw(t, "deleted"),
				}
			}), 0, 4).Draw(t, "batch")
			said := rapid.Uint64Range(0, 20).Draw(t, "covered")
			before := r.Snapshot()
			kept := maps.Clone(before.byName)
			since := rapid.Uint64Range(0, 20).Draw(t, "since")
			r.Apply(batch, since, said)
			if since <= covered {
				covered = max(covered, said)
			}
			for _, c := range batch {
				highest[c.Name] = max(highest[c.Name], c.Revision)
			}
			if !maps.Equal(kept, before.byName) {
				t.Fatal("a snapshot was changed")
			}
		}
		for name, revision := range highest {
			if got := r.Snapshot().Held(name).Revision; got != revision {
				t.Fatalf("%s at %d, want %d", name, got, revision)
			}
		}
		if r.Snapshot().Covered() != covered {
			t.Fatalf("covered %d, want %d", r.Snapshot().Covered(), covered)
		}
	})
}

// One process learns from another in bounded messages. Some are lost, some come
// late, and the learning process is restarted and gets what was meant for the one
// before it. If it believed itself up to date with a change missing, it would run
// an old contract and nobody would send the change again.
func TestCatchingUpLeavesNothingOut(t *testing.T) {
	type message struct {
		contracts   []*pb.Contract
		since, upTo uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		ahead, behind := NewRegistry(), NewRegistry()
		var revision uint64
		var sent []message
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"change", "send", "deliver", "restart"}).Draw(t, "step") {
			case "change":
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
				ahead.Apply([]*pb.Contract{{Name: name, Revision: revision}}, revision-1, revision)
			case "send":
				since := behind.Snapshot().Covered()
				if rapid.Bool().Draw(t, "ahead") {
					since += rapid.Uint64Range(0, 9).Draw(t, "by")
				}
				contracts, upTo := ahead.Snapshot().Since(since, 2)
				if upTo > revision {
					t.Fatalf("said to be covered up to %d of %d", upTo, revision)
				}
				sent = append(sent, message{contracts, since, upTo})
			case "deliver":
				if len(sent) > 0 {
					m := rapid.SampledFrom(sent).Draw(t, "message")
					behind.Apply(m.contracts, m.since, m.upTo)
				}
			case "restart":
				behind = NewRegistry()
			}
			for _, c := range ahead.Snapshot().All() {
				held := behind.Snapshot().Held(c.Name).GetRevision()
				if c.Revision <= behind.Snapshot().Covered() && held != c.Revision {
					t.Fatalf("covered up to %d, and %s at %d in place of %d", behind.Snapshot().Covered(), c.Name, held, c.Revision)
				}
			}
		}
	})
}
