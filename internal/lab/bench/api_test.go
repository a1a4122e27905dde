package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/node"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// service starts a platform with one engine and one node over loopback, and configures policies and an experiment.
func service(t *testing.T) (*Site, *RunningNode, *Client) {
	logger, err := logging.New(io.Discard, "error")
	must.NoError(t, err)
	tcp := network.NewTCP(time.Second)
	zone := Zone{Name: "a", Region: "r", Engines: 1}
	site, err := NewSite(SiteSettings{Zones: []Zone{zone}, KeyValuePerSecond: 1000, WeightsPerSecond: 100, Engine: platform.EngineSettings{
		Capacity: 8, TokensPerSecond: 2000, PrefillPerSecond: 1e6, CachedPrefixes: 4, ChunkTokens: 8, Lengths: platform.Lengths{Median: 40},
	}}, tcp, LoopbackAddresses, logger)
	must.NoError(t, err)
	running, err := site.StartNode("n", zone, t.TempDir(), node.Networks{Control: tcp, Data: tcp}, logger, 1, func(config *settings.Settings) {
		config.Ownership.SettleTime = 50 * time.Millisecond
		config.Ownership.TickInterval = 20 * time.Millisecond
		config.Replicas.PollInterval = 20 * time.Millisecond
		config.Replicas.OrderRetry = 20 * time.Millisecond
		config.Admission.MaximumBody = 4096
		config.Rollout.RouteWait = 10 * time.Second
	})
	must.NoError(t, err)
	client := NewClient(network.NewClient(tcp, time.Minute, network.Connections{PerHost: 4}))
	t.Cleanup(func() {
		running.Kill()
		site.Close()
	})
	_, err = client.Execute(t.Context(), running.API(), "add policy p version 1; add policy q version 1; create experiment e with p share 100 versions 1..2 staleness 1")
	must.NoError(t, err)
	return site, running, client
}

func TestOpenAIClientIsServed(t *testing.T) {
	site, running, _ := service(t)
	client := openai.NewClient(option.WithBaseURL(running.API()+"/v1/"), option.WithAPIKey("none"))
	whole, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "e", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")}, MaxTokens: openai.Int(30),
	})
	must.NoError(t, err)
	must.Eq(t, "stop", string(whole.Choices[0].FinishReason))
	must.Eq(t, 30, whole.Usage.CompletionTokens)

	chat, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: "e", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(30),
	})
	must.NoError(t, err)
	must.NotEq(t, "", chat.Choices[0].Message.Content)

	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model: "e", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(30),
	})
	var streamed strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			streamed.WriteString(choice.Delta.Content)
		}
	}
	must.NoError(t, stream.Err())
	must.Eq(t, 30, strings.Count(streamed.String(), " "))

	_, err = client.Completions.New(t.Context(), openai.CompletionNewParams{Model: "missing", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("x")}})
	var failure *openai.Error
	must.True(t, errors.As(err, &failure), must.Sprint(err))
	must.Eq(t, "invalid_not_found", failure.Code)
	must.Len(t, 3, site.EngineLog.StartedRequests())
}

func TestBadInputIsANumberedErrorAndNothingRuns(t *testing.T) {
	site, running, client := service(t)
	step := `{"step":"s","experiment":"e","prompts":["a"],"group_size":2,"max_tokens":5}`
	cases := []struct {
		name, path, body string
		want             result.Code
	}{
		{"no JSON", "/v1/steps", `{`, result.InvalidBody},
		{"content after the value", "/v1/steps", step + `{}`, result.InvalidBody},
		{"unknown field", "/v1/steps", `{"step":"x","colour":1}`, result.InvalidField},
		{"wrong type", "/v1/steps", `{"step":5}`, result.InvalidField},
		{"too large", "/v1/steps", `{"step":"` + strings.Repeat("x", 5000) + `"}`, result.InvalidTooLarge},
		{"no slots", "/v1/steps", `{"step":"x","experiment":"e","prompts":[],"group_size":1,"max_tokens":1}`, result.InvalidField},
		{"too many slots", "/v1/steps", `{"step":"x","experiment":"e","prompts":["a","b"],"group_size":9223372036854775807,"max_tokens":1}`, result.InvalidField},
		{"unknown experiment", "/v1/steps", `{"step":"x","experiment":"no","prompts":["a"],"group_size":1,"max_tokens":1}`, result.InvalidNotFound},
		{"a step", "/v1/steps", step, result.Done},
		{"the same step", "/v1/steps", step, result.DoneAlready},
		{"the same identifier with other content", "/v1/steps", strings.Replace(step, `"a"`, `"b"`, 1), result.ConflictContent},
		{"fetch without a number", "/v1/steps/s/fetch", `{"maximum":1}`, result.InvalidField},
		{"a cursor too far", "/v1/steps/s/fetch", `{"cursor":3,"fetch":1,"maximum":1}`, result.ConflictFetch},
		{"a batch that was not delivered", "/v1/steps/s/acknowledge", `{"cursor":0}`, result.ConflictFetch},
		{"no such step", "/v1/steps/x/fetch", `{"fetch":1,"maximum":1}`, result.InvalidNotFound},
		{"an older version published", "/v1/policies/p/versions", `{"version":1}`, result.ConflictRevision},
		{"negative deadline", "/v1/completions", `{"model":"e","prompt":"x","thistlewalk":{"deadline_ms":-1}}`, result.InvalidField},
		{"not repeatable without an identifier", "/v1/completions", `{"model":"e","prompt":"x","thistlewalk":{"repeatable":false}}`, result.InvalidField},
		{"no handle and no key", "/v1/completions", `{"model":"e","prompt":"x","thistlewalk":{"rollout":"k~q"}}`, result.InvalidField},
		{"a forged handle", "/v1/completions", `{"model":"e","prompt":"x","thistlewalk":{"rollout":"k~p~r~00"}}`, result.InvalidNotAllowed},
		{"a change as a query", "/v1/queries", `{"text":"pause policy p"}`, result.InvalidState},
		{"no such call", "/v1/nothing", `{}`, result.InvalidNotFound},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			response, err := http.Post(running.API()+test.path, "application/json", strings.NewReader(test.body))
			must.NoError(t, err)
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, test.want.Describe().HTTP, response.StatusCode, must.Sprint(string(content)))
			if test.want.Class() == result.ClassDone {
				must.StrContains(t, string(content), fmt.Sprintf(`"code":%d`, test.want))
			} else {
				must.StrContains(t, string(content), fmt.Sprintf(`"number":%d`, test.want))
			}
		})
	}
	for text, want := range map[string]result.Code{
		"create experiment f with p share 50":               result.InvalidShares,
		"create experiment f with p share 0, q share 100":   result.InvalidShares,
		"create experiment f with p share 60, p share 40":   result.InvalidField,
		"swap policy p to 3":                                result.InvalidVersion,
		"create experiment e with p share 100":              result.ConflictExists,
		"add policy p version 1":                            result.ConflictExists,
		"swap policy nobody to 1":                           result.InvalidNotFound,
		"show steps where colour = red":                     result.InvalidField,
		"retire policy q; resume policy q":                  result.InvalidState,
		"alter experiment e with p share 100 versions 5..4": result.InvalidVersion,
	} {
		_, err := client.Execute(t.Context(), running.API(), text)
		must.Eq(t, want, result.CodeOf(err), must.Sprint(text))
	}
	for _, begun := range site.EngineLog.StartedRequests() {
		must.StrHasPrefix(t, "s#", begun.RequestID, must.Sprint("only the good step runs"))
	}
}

func TestARequestThatRunsOnceAndIsSentAgainGetsItsAnswer(t *testing.T) {
	site, running, client := service(t)
	callers := NewCallers(client, "e")
	first := callers.Send(context.Background(), running.API(), "booking-1", "a seat", 20, false)
	must.Eq(t, result.Done, first.Code)
	again := callers.Send(context.Background(), running.API(), "booking-1", "a seat", 20, false)
	must.Eq(t, result.DoneAlready, again.Code)
	must.Eq(t, first.Text, again.Text)
	other := callers.Send(context.Background(), running.API(), "booking-1", "another seat", 20, false)
	must.Eq(t, result.ConflictContent, other.Code)
	must.Len(t, 1, site.EngineLog.StartedRequests())
}

func TestARolloutOfSeveralTurnsKeepsItsPolicyAndReplica(t *testing.T) {
	_, running, client := service(t)
	_, err := client.Execute(t.Context(), running.API(), "alter experiment e with p share 50, q share 50")
	must.NoError(t, err)
	type answer struct {
		Extension struct {
			Rollout, Policy, Replica string
		} `json:"thistlewalk"`
	}
	policies := make(map[string]int)
	for range 20 {
		var first, second answer
		body := map[string]any{"model": "e", "prompt": "turn", "max_tokens": 2}
		must.NoError(t, client.Call(t.Context(), running.API()+"/v1/completions", body, &first))
		body["thistlewalk"] = map[string]any{"rollout": first.Extension.Rollout}
		must.NoError(t, client.Call(t.Context(), running.API()+"/v1/completions", body, &second))
		must.Eq(t, first.Extension.Policy, second.Extension.Policy)
		must.Eq(t, first.Extension.Replica, second.Extension.Replica)
		policies[first.Extension.Policy]++
	}
	must.MapLen(t, 2, policies)
}

func TestTokensCarrySeparateRights(t *testing.T) {
	const operator, caller = "operator-token-0123", "caller-token-012345"
	logger, err := logging.New(io.Discard, "error")
	must.NoError(t, err)
	tcp := network.NewTCP(time.Second)
	zone := Zone{Name: "a", Region: "r"}
	site, err := NewSite(SiteSettings{Zones: []Zone{zone}, KeyValuePerSecond: 1000, WeightsPerSecond: 100}, tcp, LoopbackAddresses, logger)
	must.NoError(t, err)
	defer site.Close()
	running, err := site.StartNode("n", zone, "", node.Networks{Control: tcp, Data: tcp}, logger, 1, func(config *settings.Settings) {
		config.Security.OperatorTokens = []string{operator}
		config.Security.CallerTokens = []string{caller}
	})
	must.NoError(t, err)
	defer running.Kill()
	post := func(path, token, body string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, running.API()+path, strings.NewReader(body))
		must.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	const command, step = `{"text":"add policy p version 1"}`, `{"step":"s"}`
	must.Eq(t, http.StatusForbidden, post("/v1/commands", caller, command))
	must.Eq(t, http.StatusForbidden, post("/v1/commands", "", command))
	must.Eq(t, http.StatusOK, post("/v1/commands", operator, command))
	must.Eq(t, http.StatusForbidden, post("/v1/steps", "wrong", step))
	must.Eq(t, http.StatusBadRequest, post("/v1/steps", caller, step))
}

func TestANodeOpenToOthersNeedsTokensAndKeysOrAnExplicitSetting(t *testing.T) {
	config := settings.Defaults()
	config.Node = settings.Node{ID: "n", Zone: "z", Region: "r", API: "0.0.0.0:1", Control: "127.0.0.1:1"}
	logger, err := logging.New(io.Discard, "error")
	must.NoError(t, err)
	_, err = node.New(node.Options{Settings: config, Logger: logger})
	must.ErrorContains(t, err, "security.allow_plain")
}

func TestAnAutomaticPolicyIsSwappedOnceItsVersionIsStaged(t *testing.T) {
	site, running, client := service(t)
	_, err := client.Execute(t.Context(), running.API(), "add policy auto version 1 automatic; add policy manual version 1; publish policy auto version 2; publish policy manual version 2")
	must.NoError(t, err)
	model := site.Engines()[0].Model
	deadline := time.Now().Add(20 * time.Second)
	for model.Active("auto") != 2 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 2, model.Active("auto"))
	must.Eq(t, 1, model.Active("manual"))
	must.Eq(t, 2, model.Staged("manual"))
}
