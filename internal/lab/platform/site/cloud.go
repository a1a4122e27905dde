package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// UsageReport is a usage report that the platform accepted.
type UsageReport struct {
	Holder string
	Fence  int64
	Window int64
	Counts map[string]int64
	At     time.Time
}

// CloudFaults are the injected faults. The zero value injects none.
type CloudFaults struct {
	// Down rejects reports without recording them. Lost records reports and closes the connection without a response.
	Down, Lost bool
}

// Cloud is the platform's endpoint for usage reports. It is safe for concurrent use.
type Cloud struct {
	mu      sync.Mutex
	faults  CloudFaults
	reports []UsageReport
}

// SetFaults replaces the injected faults.
func (cloud *Cloud) SetFaults(faults CloudFaults) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	cloud.faults = faults
}

// Reports returns the accepted reports, oldest first.
func (cloud *Cloud) Reports() []UsageReport {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return append([]UsageReport(nil), cloud.reports...)
}

// ServeHTTP serves the endpoint /usage.
func (cloud *Cloud) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	report := struct {
		Window int64            `json:"window-id"`
		Counts map[string]int64 `json:"counts"`
	}{}
	fence, err := strconv.ParseInt(request.Header.Get("Fence-Token"), 10, 64)
	holder := request.Header.Get("Duty-Holder")
	if err != nil || holder == "" || request.URL.Path != "/usage" || json.NewDecoder(request.Body).Decode(&report) != nil || report.Counts == nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	cloud.mu.Lock()
	faults := cloud.faults
	if !faults.Down {
		cloud.reports = append(cloud.reports, UsageReport{Holder: holder, Fence: fence, Window: report.Window, Counts: report.Counts, At: time.Now()})
	}
	cloud.mu.Unlock()
	switch {
	case faults.Down:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case faults.Lost:
		panic(http.ErrAbortHandler)
	}
}
