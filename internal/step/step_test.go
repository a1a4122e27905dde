package step

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sampleOf(version uint64, at time.Time) rollout.Sample {
	return rollout.Sample{Policy: "p", TokenIDs: []uint32{1}, Spans: []rollout.Span{{Version: version}}, Started: at}
}

// machine drives a step as its owner does: it stores each change as registers, from which it can rebuild the step at any
// time. The set of slots that the trainer has used is the oracle.
type machine struct {
	stored  map[string][]byte
	step    *Step
	newest  uint64
	now     time.Time
	bound   experiment.Bound
	number  uint64
	cursor  uint64
	taken   map[uint32]bool // slots that the trainer has used
	pending []Delivery      // answer to the last fetch, which the trainer may use or fetch again
}

func (m *machine) commit(t *rapid.T, change Change) {
	registers, err := change.Registers(m.step.Definition.ID)
	must.NoError(t, err)
	for _, register := range registers {
		m.stored[register.Key] = register.Value
	}
	m.step.Apply(change)
}

func (m *machine) newestOf(string) uint64 { return m.newest }

func (m *machine) rebuild(t *rapid.T) {
	registers := make([]Register, 0, len(m.stored))
	for key, value := range m.stored {
		registers = append(registers, Register{Key: key, Value: value})
	}
	steps, orphans, err := Load(registers)
	must.NoError(t, err)
	must.Len(t, 0, orphans)
	m.step = steps["s"]
}

func (m *machine) fetch(t *rapid.T, maximum int) {
	m.number++
	answer, err := m.step.Fetch(Fetch{Cursor: m.cursor, Number: m.number, Maximum: maximum}, m.bound, m.newestOf, m.now)
	must.NoError(t, err)
	for _, delivery := range answer.Deliveries {
		must.False(t, m.taken[delivery.Slot], must.Sprintf("slot %d is delivered again after its sample was used", delivery.Slot))
		must.LessEq(t, m.bound.Versions, m.newest-min(m.newest, delivery.Sample.OldestVersion()))
		must.LessEq(t, m.bound.Age, m.now.Sub(delivery.Sample.Started))
	}
	stillFresh := 0
	for _, earlier := range m.pending {
		kept := slices.ContainsFunc(answer.Deliveries, func(d Delivery) bool { return d.Slot == earlier.Slot && d.Generation == earlier.Generation })
		fresh := !StalenessOf(earlier.Sample, m.newest, m.now).Exceeds(m.bound)
		must.Eq(t, fresh, kept, must.Sprint("a repeated fetch must return the same samples, except stale ones"))
		if fresh {
			stillFresh++
		}
	}
	if stillFresh > 0 {
		must.Len(t, stillFresh, answer.Deliveries)
	}
	m.commit(t, answer.Change)
	m.pending = answer.Deliveries
}

// Guards against samples that are lost, delivered again after use, or delivered beyond the staleness bound, in random
// sequences of calls and restarts of the owner.
func TestStepAgainstOracle(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		definition := Definition{ID: "s", Experiment: "e", Prompts: []string{"a", "b", "c"}, GroupSize: 2, MaxTokens: 1, Created: start}
		m := &machine{stored: make(map[string][]byte), step: New(definition), newest: 1, now: start, taken: make(map[uint32]bool),
			bound: experiment.Bound{HasVersions: true, Versions: uint64(rapid.IntRange(0, 2).Draw(draw, "bound")), Age: time.Minute}}
		progress := m.step.Progress
		m.commit(draw, Change{Definition: &definition, Progress: &progress})
		draw.Repeat(map[string]func(*rapid.T){
			"sample": func(t *rapid.T) {
				version := max(1, m.newest-min(m.newest, uint64(rapid.IntRange(0, 3).Draw(t, "behind"))))
				change, _, err := m.step.Offer(uint32(rapid.IntRange(0, 5).Draw(t, "slot")), sampleOf(version, m.now))
				must.NoError(t, err)
				m.commit(t, change)
			},
			"publish": func(*rapid.T) { m.newest++ },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"rebuild": m.rebuild,
			"expire":  func(t *rapid.T) { m.commit(t, m.step.Expire(m.bound, m.newestOf, m.now)) },
			"fetch": func(t *rapid.T) {
				if m.step.Progress.State == StateOpen {
					m.fetch(t, rapid.IntRange(1, 4).Draw(t, "maximum"))
				}
			},
			"late fetch": func(t *rapid.T) {
				_, err := m.step.Fetch(Fetch{Cursor: m.cursor, Number: m.step.Progress.LastFetch, Maximum: 1}, m.bound, m.newestOf, m.now)
				must.Eq(t, result.ConflictFetch, result.CodeOf(err))
			},
			"use": func(t *rapid.T) {
				if len(m.pending) == 0 {
					return
				}
				for _, delivery := range m.pending {
					m.taken[delivery.Slot] = true
				}
				m.pending = nil
				for range rapid.IntRange(1, 2).Draw(t, "acknowledgements") {
					change, err := m.step.Acknowledge(m.cursor, m.now)
					must.NoError(t, err)
					m.commit(t, change)
				}
				m.cursor++
			},
			"": func(t *rapid.T) {
				complete := m.step.Progress.State == StateComplete
				must.Eq(t, len(m.taken) == definition.Slots(), complete)
				due := m.step.Due(NewAttempts(), definition.Slots())
				for _, state := range due {
					must.False(t, m.taken[state.Slot], must.Sprint("a slot whose sample was used is due again"))
				}
			},
		})
	})
}

func TestAttemptsOfSilentNodesGoToOthers(t *testing.T) {
	step := New(Definition{ID: "s", Prompts: []string{"a", "b"}, GroupSize: 1, MaxTokens: 1})
	attempts := NewAttempts()
	attempts.Begin(Attempt{Number: 1, Slot: 0, Renewed: start})
	attempts.Begin(Attempt{Number: 2, Slot: 1, Renewed: start})
	must.Len(t, 0, step.Due(attempts, 10))
	must.True(t, attempts.Renew(1, 2, start.Add(8*time.Second)))
	must.Eq(t, 1, attempts.Expire(start.Add(11*time.Second), 10*time.Second))
	due := step.Due(attempts, 10)
	must.Len(t, 1, due)
	must.Eq(t, 0, due[0].Slot)
	must.False(t, attempts.Renew(0, 1, start))
}

func TestStragglersAreOldAndFew(t *testing.T) {
	step := New(Definition{ID: "s", Prompts: []string{"a", "b", "c"}, GroupSize: 1, MaxTokens: 1})
	attempts := NewAttempts()
	for slot := range uint32(3) {
		attempts.Begin(Attempt{Number: uint64(slot), Slot: slot, Began: start.Add(time.Duration(slot) * time.Second)})
	}
	must.Len(t, 0, step.Stragglers(attempts, start.Add(time.Minute), 2), must.Sprint("too many slots are empty"))
	change, _, err := step.Offer(2, sampleOf(1, start))
	must.NoError(t, err)
	step.Apply(change)
	must.Len(t, 1, step.Stragglers(attempts, start.Add(time.Second), 2))
}

func FuzzLoad(f *testing.F) {
	change := Change{Definition: &Definition{ID: "s", Prompts: []string{"a"}, GroupSize: 1, MaxTokens: 1}, Slots: []SlotState{{}}, Batches: []Batch{{Slots: []uint32{0}}}, Progress: &Progress{}}
	registers, err := change.Registers("s")
	must.NoError(f, err)
	for _, register := range registers {
		f.Add(register.Key, register.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		_, _, _ = Load(append(registers[:1:1], Register{Key: key, Value: value}))
	})
}
