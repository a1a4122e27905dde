package telemetry_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

func TestFiguresAreServed(t *testing.T) {
	metrics := telemetry.New(func() int64 { return 7 })
	metrics.Forwarded(503, true, time.Millisecond)
	metrics.Item("broken", time.Second)
	metrics.Job("accepted")
	metrics.StoreCall("commit", "conflict", time.Millisecond)
	metrics.Order("started")
	metrics.Published("ok", time.Millisecond)
	metrics.StoreReadStarted("no_beacon")
	metrics.FormerOrder("arrived")
	metrics.ScoringWait(time.Millisecond)
	metrics.ScoringCall("full", time.Millisecond)
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`thistlewalk_forward_seconds_count{own="true",status="503"} 1`, `thistlewalk_item_seconds_count{outcome="broken"} 1`,
		`thistlewalk_job_events_total{event="accepted"} 1`, `thistlewalk_store_seconds_count{call="commit",result="conflict"} 1`,
		`thistlewalk_orders_total{reply="started"} 1`, `thistlewalk_log_lines_dropped_total 7`,
		`thistlewalk_former_orders_total{outcome="arrived"} 1`,
		`thistlewalk_publish_seconds_count{result="ok"} 1`, `thistlewalk_store_readings_total{reason="no_beacon"} 1`,
		`thistlewalk_scoring_wait_seconds_count 1`, `thistlewalk_scoring_call_seconds_count{outcome="full"} 1`,
	} {
		must.StrContains(t, recorder.Body.String(), line)
	}
}

func TestNilCountsNothing(t *testing.T) {
	var metrics *telemetry.Metrics
	metrics.Forwarded(200, false, 0)
	metrics.Item("whole", 0)
	metrics.Job("ended")
	metrics.StoreCall("get", "ok", 0)
	metrics.Order("held")
	metrics.FormerOrder("lost")
	metrics.Published("failed", 0)
	metrics.StoreReadStarted("behind")
	metrics.ScoringWait(0)
	metrics.ScoringCall("served", 0)
}
