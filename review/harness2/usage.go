package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	tenantName = "hule930"
	tenantKey  = "key-4f1c"
	// usageWindow is report-window-s.
	usageWindow = 5 * time.Second
	// beforeReport is when after the end of a window the next write of its report is awaited. It is stored 2.5 s after the end.
	beforeReport = 2300 * time.Millisecond
	// reportLate is how long after its arrival the unanswered write is done.
	reportLate = 5600 * time.Millisecond
)

// usageReport is one report that the platform has accepted.
type usageReport struct {
	Window int64            `json:"window-id"`
	Counts map[string]int64 `json:"counts"`
	holder string
	fence  int64
}

// cloud is the platform's address for calls of the holder of a duty.
type cloud struct {
	record *record

	mu      sync.Mutex
	reports []usageReport
}

// ServeHTTP implements http.Handler.
func (cloud *cloud) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	report := usageReport{holder: request.Header.Get("Duty-Holder")}
	report.fence, _ = strconv.ParseInt(request.Header.Get("Fence-Token"), 10, 64)
	if request.URL.Path != "/usage" || json.NewDecoder(request.Body).Decode(&report) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	cloud.record.note("platform: usage of window %d from %s with fence %d: %v", report.Window, report.holder, report.fence, report.Counts)
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	cloud.reports = append(cloud.reports, report)
}

// all returns the reports so far.
func (cloud *cloud) all() []usageReport {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return append([]usageReport(nil), cloud.reports...)
}

// callAsTenant sends one request of the tenant.
func (client *client) callAsTenant(front *node) {
	id := newID()
	client.call(front.frontAddress(), http.MethodPost, callPath+id, map[string]string{"Request-Id": id, "Deadline-Ms": "1500", "Authorization": "Bearer " + tenantKey}, []byte(`{"step_ms":25}`), 1500*time.Millisecond)
}

// usageTwice: a front freezes for some seconds, so that its last counts of a window arrive late; the platform's store does the write of
// that window's report late and does not answer it; later the holder of the duty gets SIGTERM and is started again.
func usageTwice(deployment *deployment, trouble bool) (int, string) {
	record, client := deployment.record, &client{deployment.record}
	frozen := deployment.fronts[0]
	stop := make(chan struct{})
	defer close(stop)
	for _, front := range deployment.fronts {
		go func() {
			ticker := time.NewTicker(100 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					go client.callAsTenant(front)
				}
			}
		}()
	}
	window := time.Now().Add(2*usageWindow).UnixNano() / int64(usageWindow)
	end := time.Unix(0, (window+1)*int64(usageWindow))
	record.note("the window of the case is %d", window)
	time.Sleep(time.Until(end.Add(-300 * time.Millisecond)))
	// A burst just before the freeze: its counts are not delivered yet.
	for range 75 {
		go client.callAsTenant(frozen)
		time.Sleep(2 * time.Millisecond)
	}
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(time.Until(end.Add(beforeReport)))
		unanswered := &lostAnswer{matches: func(written txn) bool {
			return len(written.Put) == 1 && strings.HasSuffix(written.Put[0].Key, strconv.FormatInt(window, 10))
		}, late: reportLate}
		deployment.store.loseNext(unanswered)
		select {
		case <-unanswered.taken:
		case <-time.After(4 * time.Second):
			record.note("no write of the window's report was seen")
		}
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(end.Add(usageWindow + beforeReport + 2*time.Second)))
	if trouble {
		reports := deployment.cloud.all()
		if len(reports) == 0 {
			return held, "no usage was reported"
		}
		holder := reports[len(reports)-1].holder
		for _, orderer := range deployment.orderers {
			if orderer.name == holder {
				orderer.signal(syscall.SIGTERM)
				if !orderer.awaitExit(8 * time.Second) {
					return couldNot, "the holder did not end within its grace period"
				}
				time.Sleep(300 * time.Millisecond)
				if err := orderer.start(false); err != nil {
					return couldNot, err.Error()
				}
			}
		}
	}
	time.Sleep(12 * time.Second)
	first := make(map[int64]usageReport)
	for _, report := range deployment.cloud.all() {
		known, seen := first[report.Window]
		if !seen {
			first[report.Window] = report
			continue
		}
		if !maps.Equal(known.Counts, report.Counts) {
			return broken, fmt.Sprintf("ONE: for window %d the platform accepted %v from %s and %v from %s", report.Window, known.Counts, known.holder, report.Counts, report.holder)
		}
	}
	return held, fmt.Sprintf("%d windows were reported, each with the same counts", len(first))
}
