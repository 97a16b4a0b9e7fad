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

func testContract(edit func(*pb.Contract)) *pb.Contract {
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
		c := testContract(tt.edit)
		fields := FieldErrors(Validate(c))
		if tt.field == "" && len(fields) == 0 {
			continue
		}
		if len(fields) != 1 || fields[0].Field != tt.field || fields[0].Allowed == "" || fields[0].Value == "" {
			t.Errorf("%v: got %+v, want one error of %q", c, fields, tt.field)
		}
	}
}

func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testContract(func(c *pb.Contract) {
			c.Weight = rapid.Uint32Range(1, MaxWeight).Draw(t, "weight")
			c.Rate = rapid.Float64Range(0, MaxRate).Draw(t, "rate")
			c.MemoryBytes = rapid.Uint64Range(0, MaxMemoryBytes).Draw(t, "memory")
			c.ChangedBy = rapid.String().Draw(t, "by")
		})
		c.ChangedBy = strings.ToValidUTF8(c.ChangedBy, "")
		in := &pb.ContractRecord{Contract: c, History: []*pb.Contract{testContract(func(c *pb.Contract) { c.Revision = 3 })}}
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

// Records may be written to the store by other means than this program. Entries must
// neither crash on them nor put an invalid contract in force.
func TestMalformedRecords(t *testing.T) {
	for _, text := range []string{"", "{}", "null", "[", `{"contract":{"name":"other"}}`, `{"contract":{"name":"desk","weight":-1}}`,
		`{"contract":{"name":"desk","weight":100000,"class":1}}`} {
		if r, err := Decode(Key("desk"), []byte(text), 1); !errorx.IsOfType(err, ErrMalformed) {
			t.Errorf("%q: got %v, want ErrMalformed", text, r)
		}
	}
}

func FuzzDecode(f *testing.F) {
	text, _ := Encode(&pb.ContractRecord{Contract: testContract(nil)})
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

// applyChange returns the record after a change, written at the given revision.
func applyChange(t *testing.T, stored *pb.ContractRecord, change Change, revision uint64) *pb.ContractRecord {
	t.Helper()
	plan, err := PlanChange(change, stored)
	if err != nil || plan.AppliedRevision != 0 || plan.PrevRevision != stored.GetContract().GetRevision() {
		t.Fatalf("Make = %+v, %v", plan, err)
	}
	plan.Record.Contract.Revision = revision
	return plan.Record
}

func newChange(id string, from uint64, edit func(*pb.Contract)) Change {
	c := testContract(edit)
	c.Revision = from
	return Change{Contract: c, ID: id, Author: "ann", At: time.Unix(100, 0)}
}

// Two operators base changes on the same revision. The second one must not silently undo
// the first change: the error lists what changed, and a rebase succeeds unless both
// changed the same term.
func TestConcurrentChanges(t *testing.T) {
	first := applyChange(t, nil, newChange("c1", 0, nil), 5)
	second := applyChange(t, first, newChange("c2", 5, func(c *pb.Contract) { c.Concurrency = 20 }), 8)

	stale := newChange("c3", 5, func(c *pb.Contract) { c.Waiting = 7 })
	_, err := PlanChange(stale, second)
	if diff := cmp.Diff([]FieldChange{{"concurrency", "8", "20"}}, Changes(err)); diff != "" || !errorx.IsOfType(err, ErrConflict) {
		t.Errorf("stale change: %v\n%s", err, diff)
	}
	stale.Rebase = true
	third := applyChange(t, second, stale, 9)
	if c := third.Contract; c.Concurrency != 20 || c.Waiting != 7 || c.ChangeId != "c3" || c.ChangedUnixMs != 100_000 {
		t.Errorf("rebased: %v", c)
	}
	conflicting := newChange("c4", 5, func(c *pb.Contract) { c.Concurrency = 30 })
	conflicting.Rebase = true
	if _, err := PlanChange(conflicting, third); len(Changes(err)) != 1 || Changes(err)[0].Field != "concurrency" {
		t.Errorf("conflicting change: %v", err)
	}
	for name, c := range map[string]Change{
		"creation of an existing contract": newChange("c5", 0, nil),
		"unknown revision":                 newChange("c6", 4, nil),
	} {
		if _, err := PlanChange(c, third); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if _, err := PlanChange(newChange("c7", 3, nil), nil); err == nil {
		t.Error("a change of a nonexistent contract was accepted")
	}
}

// The response to a change is lost. The operator retries, perhaps after others have made
// changes: the reported outcome must be correct, and the change must not be made twice.
func TestResolveAfterLostResponse(t *testing.T) {
	first := applyChange(t, nil, newChange("c1", 0, nil), 5)
	mine := newChange("mine", 5, func(c *pb.Contract) { c.Weight = 2 })
	applied := applyChange(t, first, mine, 6)
	superseded := applyChange(t, first, newChange("theirs", 5, nil), 6)
	appliedDropped, supersededDropped := applied, superseded
	for i := range uint64(MaxHistory + 1) {
		appliedDropped = applyChange(t, appliedDropped, newChange("x"+string(rune('a'+i)), appliedDropped.Contract.Revision, nil), 10+i)
		supersededDropped = applyChange(t, supersededDropped, newChange("y"+string(rune('a'+i)), supersededDropped.Contract.Revision, nil), 10+i)
	}
	tests := []struct {
		name   string
		stored *pb.ContractRecord
		want   Resolution
		at     uint64
	}{
		{"applied", applied, Applied, 6},
		{"applied, followed by another", applyChange(t, applied, newChange("c9", 6, nil), 7), Applied, 6},
		{"may be in flight", first, Unknown, 5},
		{"another was first", superseded, NotApplied, 6},
		{"applied, dropped from the history", appliedDropped, Unknown, 10 + MaxHistory},
		{"not applied, dropped from the history", supersededDropped, Unknown, 10 + MaxHistory},
	}
	for _, tt := range tests {
		if got, at := Resolve(tt.stored, "mine", 5); got != tt.want || at != tt.at {
			t.Errorf("%s: %v at %d, want %v at %d", tt.name, got, at, tt.want, tt.at)
		}
	}
	if plan, err := PlanChange(mine, applied); err != nil || plan.AppliedRevision != 6 {
		t.Errorf("repeated change: %+v, %v", plan, err)
	}
}

func TestRollbackAndDeletion(t *testing.T) {
	record := applyChange(t, nil, newChange("c1", 0, nil), 5)
	record = applyChange(t, record, newChange("c2", 5, func(c *pb.Contract) { c.Weight = 9 }), 6)
	record = applyChange(t, record, newChange("c3", 6, func(c *pb.Contract) { c.Deleted = true }), 7)
	back, err := Rollback(record, 6)
	if err != nil {
		t.Fatal(err)
	}
	record = applyChange(t, record, Change{Contract: back, ID: "c4", Author: "bob", At: time.Unix(200, 0)}, 8)
	if c := record.Contract; c.Weight != 9 || c.Deleted || c.ChangedBy != "bob" || len(record.History) != 3 {
		t.Errorf("record = %v", record)
	}
	if _, err := Rollback(record, 4); !errorx.IsOfType(err, ErrNotFound) {
		t.Errorf("rollback to a revision that never existed: %v", err)
	}
}

// Outdated reads of the store, delayed messages and partitioned peers deliver revisions
// in any order and any number of times. A contract that returns to an older revision, or
// that reappears after its deletion, breaks a promise to a customer.
func TestRegistryNeverRegresses(t *testing.T) {
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
			claimed := rapid.Uint64Range(0, 20).Draw(t, "covered")
			before := r.Snapshot()
			copied := maps.Clone(before.byName)
			since := rapid.Uint64Range(0, 20).Draw(t, "since")
			r.Apply(batch, since, claimed)
			if since <= covered {
				covered = max(covered, claimed)
			}
			for _, c := range batch {
				highest[c.Name] = max(highest[c.Name], c.Revision)
			}
			if !maps.Equal(copied, before.byName) {
				t.Fatal("Apply modified a snapshot")
			}
		}
		for name, revision := range highest {
			if got := r.Snapshot().Latest(name).Revision; got != revision {
				t.Fatalf("%s is at revision %d, want %d", name, got, revision)
			}
		}
		if r.Snapshot().CompleteUpTo() != covered {
			t.Fatalf("complete up to %d, want %d", r.Snapshot().CompleteUpTo(), covered)
		}
	})
}

// A process receives changes from another one in messages of bounded size. Some are lost
// or delayed, and after a restart the process receives messages that were intended for
// its previous incarnation. If it considered itself complete while a change is missing,
// it would use an old contract and the change would never be resent.
func TestSyncMissesNoChange(t *testing.T) {
	type message struct {
		contracts   []*pb.Contract
		since, upTo uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		source, replica := NewRegistry(), NewRegistry()
		var revision uint64
		var sent []message
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"change", "send", "deliver", "restart"}).Draw(t, "step") {
			case "change":
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
				source.Apply([]*pb.Contract{{Name: name, Revision: revision}}, revision-1, revision)
			case "send":
				since := replica.Snapshot().CompleteUpTo()
				if rapid.Bool().Draw(t, "ahead") {
					since += rapid.Uint64Range(0, 9).Draw(t, "by")
				}
				contracts, upTo := source.Snapshot().Since(since, 2)
				if upTo > revision {
					t.Fatalf("Since claims completeness up to %d of %d", upTo, revision)
				}
				sent = append(sent, message{contracts, since, upTo})
			case "deliver":
				if len(sent) > 0 {
					m := rapid.SampledFrom(sent).Draw(t, "message")
					replica.Apply(m.contracts, m.since, m.upTo)
				}
			case "restart":
				replica = NewRegistry()
			}
			for _, c := range source.Snapshot().All() {
				stored := replica.Snapshot().Latest(c.Name).GetRevision()
				if c.Revision <= replica.Snapshot().CompleteUpTo() && stored != c.Revision {
					t.Fatalf("complete up to %d, but %s is at %d instead of %d", replica.Snapshot().CompleteUpTo(), c.Name, stored, c.Revision)
				}
			}
		}
	})
}
