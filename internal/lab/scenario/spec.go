// Package scenario runs workloads of trainers and callers in virtual time, and compares the system with baselines.
package scenario

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
)

// Spec is the content of a scenario file.
type Spec struct {
	Name string `yaml:"name" validate:"required"`
	// Source documents the origin of the sizes and distributions.
	Source  string  `yaml:"source" validate:"required"`
	Zones   []Zone  `yaml:"zones" validate:"min=1,dive"`
	Latency Latency `yaml:"latency"`
	Engine  Engine  `yaml:"engine"`
	Trainer Trainer `yaml:"trainer"`
	Calls   Calls   `yaml:"calls"`
	// Failures are injected at fixed times after the start of training.
	Failures []Failure `yaml:"failures" validate:"dive"`
}

// Zone describes a zone of the platform.
type Zone struct {
	Name    string `yaml:"name" validate:"required"`
	Engines int    `yaml:"engines" validate:"min=0,max=1000"`
	Nodes   int    `yaml:"nodes" validate:"min=0,max=100"`
}

// Latency holds one-way network latencies: between zones, and between a zone and clients or the platform.
type Latency struct {
	Zones   time.Duration `yaml:"zones" validate:"min=0,max=1s"`
	Clients time.Duration `yaml:"clients" validate:"min=0,max=1s"`
}

// Engine describes the simulated engines, which are all alike.
type Engine struct {
	Capacity         int           `yaml:"capacity" validate:"min=1"`
	TokensPerSecond  float64       `yaml:"tokens_per_second" validate:"gt=0"`
	BatchSlowdown    float64       `yaml:"batch_slowdown" validate:"min=0"`
	PrefillPerSecond float64       `yaml:"prefill_per_second" validate:"gt=0"`
	CachedPrefixes   int           `yaml:"cached_prefixes" validate:"min=1"`
	ReportLag        time.Duration `yaml:"report_lag" validate:"min=0"`
	StageTime        time.Duration `yaml:"stage_time" validate:"min=0"`
	WeightsPerSecond float64       `yaml:"weights_per_second" validate:"gt=0"`
	MedianLength     float64       `yaml:"median_length" validate:"gt=0"`
	LengthSigma      float64       `yaml:"length_sigma" validate:"min=0"`
}

// Trainer describes the steps that a trainer submits. Ahead is the number of later steps that are generated while it
// waits for or trains on the current one.
type Trainer struct {
	Steps         int           `yaml:"steps" validate:"min=1,max=1000"`
	Prompts       int           `yaml:"prompts" validate:"min=1"`
	GroupSize     int           `yaml:"group_size" validate:"min=1"`
	MaxTokens     int           `yaml:"max_tokens" validate:"min=1"`
	TrainTime     time.Duration `yaml:"train_time" validate:"min=0"`
	Ahead         int           `yaml:"ahead" validate:"min=0,max=4"`
	BoundVersions uint64        `yaml:"bound_versions" validate:"max=100"`
}

// Calls describes requests that arrive during training as a Poisson process.
type Calls struct {
	PerSecond     float64 `yaml:"per_second" validate:"min=0"`
	NotRepeatable float64 `yaml:"not_repeatable" validate:"min=0,max=1"`
	Tokens        int     `yaml:"tokens" validate:"min=0"`
}

// Failure is an injected failure.
type Failure struct {
	At     time.Duration `yaml:"at" validate:"min=0"`
	Kind   string        `yaml:"kind" validate:"oneof=crash-engine crash-node stop-node service-down lose-answers keep-version cut-zone"`
	Target int           `yaml:"target" validate:"min=0"`
	Length time.Duration `yaml:"length" validate:"min=0"`
}

// Parse decodes and validates a scenario file.
func Parse(content []byte) (Spec, error) {
	var spec Spec
	if err := yaml.UnmarshalWithOptions(content, &spec, yaml.Strict()); err != nil {
		return spec, errors.Wrap(err, "scenario")
	}
	return spec, errors.Wrap(validator.New(validator.WithRequiredStructEnabled()).Struct(spec), "scenario")
}

const chunkTokens = 16

func (engine Engine) settings() platform.EngineSettings {
	return platform.EngineSettings{
		Capacity: engine.Capacity, TokensPerSecond: engine.TokensPerSecond, BatchSlowdown: engine.BatchSlowdown,
		PrefillPerSecond: engine.PrefillPerSecond, CachedPrefixes: engine.CachedPrefixes, ChunkTokens: chunkTokens,
		ReportLag: engine.ReportLag, StageTime: engine.StageTime, RoundInterval: 50 * time.Millisecond,
		Lengths: platform.Lengths{Median: engine.MedianLength, Sigma: engine.LengthSigma},
	}
}

func (spec Spec) zones() []bench.Zone {
	zones := make([]bench.Zone, 0, len(spec.Zones))
	for _, zone := range spec.Zones {
		zones = append(zones, bench.Zone{Name: zone.Name, Region: "region", Engines: zone.Engines})
	}
	return zones
}

// Variant is a variant of the system in a comparison: the system with its default settings, or a baseline.
type Variant struct {
	Name string
	// Routing is the value of the setting rollout.routing.
	Routing string
	// Stragglers is true if second attempts are run for stragglers.
	Stragglers bool
	// DrainBeforeSwap is true if the policy is paused before each swap until no rollout runs.
	DrainBeforeSwap bool
	// QueueAtEngines is true if rollouts are queued at engines instead of nodes, and start on whatever version the engine
	// runs.
	QueueAtEngines bool
}

// Variants returns the system, followed by its baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "thistlewalk", Routing: "scored", Stragglers: true},
		{Name: "round robin", Routing: "round-robin", Stragglers: true, QueueAtEngines: true},
		{Name: "least reported load", Routing: "least-reported", Stragglers: true, QueueAtEngines: true},
		{Name: "drain before swap", Routing: "scored", Stragglers: true, DrainBeforeSwap: true, QueueAtEngines: true},
		{Name: "no straggler handling", Routing: "scored"},
	}
}
