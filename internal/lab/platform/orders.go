package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/engine"
)

// orders serves POST /v1/orders: it rejects stale fences and applies the order.
func (model *Engine) orders(writer http.ResponseWriter, request *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, "bad body", http.StatusBadRequest)
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	if model.faults.RejectOrders {
		http.Error(writer, "out of memory", http.StatusInternalServerError)
		return
	}
	if !fenceAllowed(order.Fence, model.fence) {
		writeJSON(writer, http.StatusConflict, model.fence)
		return
	}
	model.fence = order.Fence
	if !model.apply(order) {
		http.Error(writer, "version not staged", http.StatusPreconditionFailed)
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

// fenceAllowed reports whether an order with fence next may be accepted. present is the greatest fence accepted so far. Within
// a term, only the same holder may continue.
func fenceAllowed(next, present engine.Fence) bool {
	if next.Term != present.Term {
		return next.Term > present.Term
	}
	return next.Holder == present.Holder && next.Revision >= present.Revision
}

// apply applies an order and returns false if the order activates a version that is not staged. The caller must hold mu.
func (model *Engine) apply(order engine.Order) bool {
	weights, held := model.policies[order.Policy]
	switch order.Action {
	case engine.ActionStage:
		if !held {
			weights = &policyWeights{}
			model.policies[order.Policy] = weights
		}
		if weights.staged != order.Version && weights.staging != order.Version {
			weights.staging = order.Version
			model.done.Go(func() { model.stage(order.Policy, order.Version) })
		}
	case engine.ActionActivate:
		if !held || weights.staged != order.Version {
			return false
		}
		if !model.faults.IgnoreActivations {
			weights.active = order.Version
		}
	case engine.ActionRole:
		model.role = order.Role
	case engine.ActionDiscard:
		if held {
			weights.active, weights.staged = 0, 0
		}
	}
	return true
}

const stageRetry = 100 * time.Millisecond

// stage transfers weights from the weight store, retrying on every error, and loads them.
func (model *Engine) stage(policy string, version uint64) {
	for model.fetchWeights(model.ctx, policy, version) != nil {
		select {
		case <-model.ctx.Done():
			return
		case <-time.After(stageRetry):
		}
	}
	select {
	case <-model.ctx.Done():
		return
	case <-time.After(model.settings.StageTime):
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	if weights := model.policies[policy]; weights.staging == version {
		weights.staged, weights.staging = version, 0
	}
}

// load serves GET /v1/load. The load figures are at least ReportLag old once the engine has that much history; all other
// fields are current.
func (model *Engine) load(writer http.ResponseWriter, _ *http.Request) {
	model.mu.Lock()
	defer model.mu.Unlock()
	now := time.Now()
	current := engine.Report{Running: len(model.running), Queued: len(model.waiting), Capacity: model.settings.Capacity}
	model.reports = append(model.reports, timedReport{now, current})
	for len(model.reports) > 1 && now.Sub(model.reports[1].at) >= model.settings.ReportLag {
		model.reports = model.reports[1:]
	}
	report := model.reports[0].report
	report.Leaving = model.leaving
	report.Fence = model.fence
	report.Role = model.role
	for policy, weights := range model.policies {
		report.Policies = append(report.Policies, engine.LoadedPolicy{Policy: policy, Active: weights.active, Staged: weights.staged})
	}
	writeJSON(writer, http.StatusOK, report)
}
