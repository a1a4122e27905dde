package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/network"
)

// platformTrainer configures a trainer that requests training steps from nodes, one after the other. The trainer serves its
// progress at GET /v1/progress on its own address.
type platformTrainer struct {
	Nodes      []string      `yaml:"nodes"`
	Experiment string        `yaml:"experiment"`
	Prompts    int           `yaml:"prompts"`
	GroupSize  int           `yaml:"group_size"`
	MaxTokens  int           `yaml:"max_tokens"`
	Steps      int           `yaml:"steps"`
	TrainTime  time.Duration `yaml:"train_time"`
}

// trainerProgress is the response to GET /v1/progress.
type trainerProgress struct {
	Requested int `json:"samples_requested"`
	Received  int `json:"samples_received"`
}

const trainerRetryDelay = time.Second

// startTrainer serves the progress of a trainer and starts running its steps in the background, until the context ends.
func startTrainer(ctx context.Context, site *bench.Site, settings platformTrainer) error {
	client := bench.NewClient(network.NewClient(network.NewTCP(time.Second), time.Minute, network.Connections{PerHost: 4}))
	trainer := bench.NewTrainer(client, func() []string { return settings.Nodes }, nil)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/progress", func(writer http.ResponseWriter, _ *http.Request) {
		received, requested := trainer.Received()
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(trainerProgress{Requested: requested, Received: len(received)})
	})
	address, err := site.Serve(mux)
	if err != nil {
		return err
	}
	fmt.Printf("trainer: http://%s/v1/progress\n", address)
	go settings.run(ctx, trainer)
	return nil
}

// run runs the steps. It retries a step that fails, because its experiment may not exist yet.
func (settings platformTrainer) run(ctx context.Context, trainer *bench.Trainer) {
	for number := 0; number < settings.Steps && ctx.Err() == nil; {
		request := gateway.StepRequest{Step: fmt.Sprintf("trainer-%d-%d", os.Getpid(), number), Experiment: settings.Experiment,
			GroupSize: settings.GroupSize, MaxTokens: settings.MaxTokens}
		for index := range settings.Prompts {
			request.Prompts = append(request.Prompts, fmt.Sprintf("prompt %d of step %d", index, number))
		}
		err := trainer.Submit(ctx, request)
		if err == nil {
			err = trainer.Collect(ctx, request.Step)
		}
		if err == nil {
			number++
			time.Sleep(settings.TrainTime)
			continue
		}
		time.Sleep(trainerRetryDelay)
	}
}
