// Package settings loads and validates the settings of a node from defaults, a YAML file and flags; later sources override earlier ones. All
// problems are reported at once, each with its source, its key and the allowed values.
package settings

import "time"

// Settings are the settings of a node. The help tags are the source of the table in docs/SETTINGS.md.
type Settings struct {
	Node       Node       `koanf:"node"`
	Platform   Platform   `koanf:"platform"`
	Security   Security   `koanf:"security"`
	Admission  Admission  `koanf:"admission"`
	Rollout    Rollout    `koanf:"rollout"`
	Steps      Steps      `koanf:"steps"`
	Membership Membership `koanf:"membership"`
	Ownership  Ownership  `koanf:"ownership"`
	Replicas   Replicas   `koanf:"replicas"`
	Log        Log        `koanf:"log"`
}

// Node identifies the node and sets its addresses.
type Node struct {
	ID         string   `koanf:"id" validate:"required,max=64" help:"name of the node, unique; kept over restarts"`
	Zone       string   `koanf:"zone" validate:"required,max=64" help:"zone that the node runs in"`
	Region     string   `koanf:"region" validate:"required,max=64" help:"region that the zone belongs to"`
	API        string   `koanf:"api" validate:"required,ip_port" help:"address for callers, trainers and operators, IP:port"`
	Control    string   `koanf:"control" validate:"required,ip_port" help:"address for other nodes, IP:port"`
	DataFolder string   `koanf:"data_folder" help:"folder for samples; empty on nodes that keep nothing"`
	Seeds      []string `koanf:"seeds" validate:"dive,ip_port" help:"control addresses to join through, beside those of the machine list"`
}

// Platform sets the URLs of the platform's services and the timeout of calls to them.
type Platform struct {
	KeyValue string        `koanf:"key_value" validate:"required,http_url" help:"URL of the key-value service"`
	Machines string        `koanf:"machines" validate:"required,http_url" help:"URL of the machine list"`
	Scorer   string        `koanf:"scorer" validate:"required,http_url" help:"URL of the scoring service"`
	Timeout  time.Duration `koanf:"timeout" validate:"min=10ms,max=1m" help:"time that one call to a platform service may take"`
}

// Security sets authentication and TLS.
type Security struct {
	OperatorTokens []string `koanf:"operator_tokens" validate:"dive,min=16" help:"bearer tokens that may change the configuration; none allows all, on loopback only"`
	CallerTokens   []string `koanf:"caller_tokens" validate:"dive,min=16" help:"bearer tokens that may run rollouts and steps; none allows all, on loopback only"`
	Certificate    string   `koanf:"certificate" help:"PEM file of the node's certificate; reloaded when it changes; empty for plain HTTP"`
	Key            string   `koanf:"key" validate:"required_with=Certificate" help:"PEM file of the certificate's key"`
	Authority      string   `koanf:"authority" help:"PEM file of the authority that nodes' certificates must come from"`
	AllowPlain     bool     `koanf:"allow_plain" help:"serve addresses other than loopback without tokens or TLS"`
}

// Admission limits the requests accepted from callers.
type Admission struct {
	Concurrency     int     `koanf:"concurrency" validate:"min=1,max=100000" help:"requests of callers that run at a time"`
	Queue           int     `koanf:"queue" validate:"min=0,max=100000" help:"requests of callers that wait"`
	CallerPerSecond float64 `koanf:"caller_per_second" validate:"min=0,max=100000" help:"requests a second of one caller; 0 is no limit"`
	CallerBurst     int     `koanf:"caller_burst" validate:"min=1,max=100000" help:"requests that a caller may send at once"`
	MaximumBody     int64   `koanf:"maximum_body" validate:"min=1024,max=1073741824" help:"bytes of a request's body"`
	RetryShare      float64 `koanf:"retry_share" validate:"min=0,max=1" help:"retries allowed for each first attempt"`
	RetryReserve    float64 `koanf:"retry_reserve" validate:"min=0,max=100000" help:"retries that can be saved up"`
}

// Rollout sets how rollout requests are routed, timed out and retried.
type Rollout struct {
	RouteWait       time.Duration `koanf:"route_wait" validate:"min=0,max=10m" help:"wait for a serviceable replica before a caller's request is refused"`
	StallTime       time.Duration `koanf:"stall_time" validate:"min=10ms,max=1h" help:"silence of a stream that counts as broken"`
	MaximumAttempts int           `koanf:"maximum_attempts" validate:"min=1,max=100" help:"replicas that one request is sent to"`
	DefaultDeadline time.Duration `koanf:"default_deadline" validate:"min=100ms,max=24h" help:"deadline of a caller's request that names none"`
	Routing         string        `koanf:"routing" validate:"oneof=scored round-robin least-reported" help:"how replicas are picked: scored, or a baseline"`
}

// Steps sets how training steps are dispatched and executed.
type Steps struct {
	MaximumSlots     int           `koanf:"maximum_slots" validate:"min=0,max=100000" help:"slots that this node works on"`
	OutstandingSlots int           `koanf:"outstanding_slots" validate:"min=1,max=1000000" help:"slots of one partition that are with executors"`
	SlotsPerDispatch int           `koanf:"slots_per_dispatch" validate:"min=1,max=10000" help:"slots in one dispatch message"`
	AttemptSilence   time.Duration `koanf:"attempt_silence" validate:"min=100ms,max=1h" help:"silence of an executor after which its slots go to others"`
	RenewInterval    time.Duration `koanf:"renew_interval" validate:"min=10ms,max=10m" help:"how often executors tell what they work on"`
	StragglerShare   float64       `koanf:"straggler_share" validate:"min=0,max=1" help:"share of empty slots from which second attempts are run"`
	StragglerTime    time.Duration `koanf:"straggler_time" validate:"min=0,max=24h" help:"age of an attempt from which a second is run; 0 for never"`
	SwapWaitTimeout  time.Duration `koanf:"swap_patience" validate:"min=0,max=1h" help:"wait of a rollout generated ahead for a replica that runs newer weights"`
	RoomShare        float64       `koanf:"room_share" validate:"min=0,max=10" help:"share of a replica's batch that a step's rollouts fill before they wait; 0 queues at replicas"`
	AheadShare       float64       `koanf:"ahead_share" validate:"min=0,max=10" help:"the same for a step that its trainer does not wait for yet"`
	ClosedRetention  time.Duration `koanf:"keep_closed" validate:"min=0,max=168h" help:"how long a finished step is kept"`
	TickInterval     time.Duration `koanf:"tick_interval" validate:"min=10ms,max=1m" help:"how often empty slots are dispatched"`
}

// Membership sets the gossip between nodes and its failure detector.
type Membership struct {
	ProbeInterval  time.Duration `koanf:"probe_interval" validate:"min=10ms,max=1m" help:"time between two probes by a node"`
	ProbeTimeout   time.Duration `koanf:"probe_timeout" validate:"min=5ms,max=30s" help:"wait for a probe's answer, and again for indirect ones"`
	SuspicionTime  time.Duration `koanf:"suspicion_time" validate:"min=10ms,max=10m" help:"time that a suspect has to refute"`
	ForgetTime     time.Duration `koanf:"forget_time" validate:"min=1s,max=168h" help:"how long dead members are remembered"`
	IndirectProbes int           `koanf:"indirect_probes" validate:"min=0,max=10" help:"members asked to probe one that does not answer"`
	ExchangePeers  int           `koanf:"exchange_peers" validate:"min=0,max=10" help:"peers that load digests are exchanged with at each poll"`
	RelaysPerZone  int           `koanf:"relays_per_zone" validate:"min=1,max=10" help:"nodes of a zone that watch the platform's services"`
}

// Ownership sets how nodes take over and replicate partitions.
type Ownership struct {
	SettleTime             time.Duration `koanf:"settle_time" validate:"min=0,max=10m" help:"wait after the start before partitions are taken"`
	WriteTimeout           time.Duration `koanf:"write_timeout" validate:"min=10ms,max=1m" help:"wait for a copy to store a write"`
	ReplaceAfter           time.Duration `koanf:"replace_after" validate:"min=0,max=168h" help:"absence of a sample store after which another takes its place"`
	LeaseTime              time.Duration `koanf:"lease_time" validate:"min=100ms,max=10m" help:"life of an owner's lease"`
	HistoryRecoveryTimeout time.Duration `koanf:"history_patience" validate:"min=100ms,max=24h" help:"failed recovery of claims after which lost history is given up"`
	TickInterval           time.Duration `koanf:"tick_interval" validate:"min=10ms,max=1m" help:"how often partitions are looked at"`
}

// Replicas sets how replicas are polled and ordered to load weights.
type Replicas struct {
	PollInterval  time.Duration `koanf:"poll_interval" validate:"min=10ms,max=1m" help:"time between two polls of a replica by its home"`
	CallTimeout   time.Duration `koanf:"call_timeout" validate:"min=10ms,max=1m" help:"wait for a replica's report or order"`
	FailedAfter   int           `koanf:"failed_after" validate:"min=1,max=100" help:"failed polls after which a replica is published as failed"`
	MaximumAge    time.Duration `koanf:"maximum_age" validate:"min=100ms,max=1h" help:"age of a digest from which its replica gets no work"`
	OrderRetry    time.Duration `koanf:"order_retry" validate:"min=10ms,max=10m" help:"time between two equal orders to a replica"`
	OrderAttempts int           `koanf:"order_attempts" validate:"min=1,max=1000" help:"equal orders before the replica is reported"`
}

// Log sets the logging.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error" help:"least level that is logged"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Node:     Node{Region: "default"},
		Platform: Platform{Timeout: 2 * time.Second},
		Admission: Admission{Concurrency: 512, Queue: 1024, CallerBurst: 100, MaximumBody: 64 << 20,
			RetryShare: 0.2, RetryReserve: 50},
		Rollout: Rollout{RouteWait: 2 * time.Second, StallTime: 15 * time.Second, MaximumAttempts: 6,
			DefaultDeadline: 10 * time.Minute, Routing: "scored"},
		Steps: Steps{MaximumSlots: 512, OutstandingSlots: 4096, SlotsPerDispatch: 64, AttemptSilence: 10 * time.Second,
			RenewInterval: 2 * time.Second, StragglerShare: 0.05, StragglerTime: 30 * time.Second, SwapWaitTimeout: 15 * time.Second, RoomShare: 1, AheadShare: 0.5, ClosedRetention: time.Hour,
			TickInterval: 200 * time.Millisecond},
		Membership: Membership{ProbeInterval: time.Second, ProbeTimeout: 400 * time.Millisecond, SuspicionTime: 4 * time.Second,
			ForgetTime: 10 * time.Minute, IndirectProbes: 3, ExchangePeers: 1, RelaysPerZone: 2},
		Ownership: Ownership{SettleTime: 3 * time.Second, WriteTimeout: 2 * time.Second, ReplaceAfter: time.Minute,
			LeaseTime: 15 * time.Second, HistoryRecoveryTimeout: 30 * time.Second, TickInterval: 500 * time.Millisecond},
		Replicas: Replicas{PollInterval: time.Second, CallTimeout: 500 * time.Millisecond, FailedAfter: 2,
			MaximumAge: 10 * time.Second, OrderRetry: 2 * time.Second, OrderAttempts: 5},
		Log: Log{Level: "info"},
	}
}
