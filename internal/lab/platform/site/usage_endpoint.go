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

// UsageFaults are the injected faults. The zero value injects none.
type UsageFaults struct {
	// Down rejects reports without recording them. Lost records reports and closes the connection without a response.
	Down, Lost bool
}

// UsageEndpoint is the platform's endpoint for usage reports. It is safe for concurrent use.
type UsageEndpoint struct {
	mu      sync.Mutex
	faults  UsageFaults
	reports []UsageReport
}

// SetFaults replaces the injected faults.
func (endpoint *UsageEndpoint) SetFaults(faults UsageFaults) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.faults = faults
}

// Reports returns the accepted reports, oldest first.
func (endpoint *UsageEndpoint) Reports() []UsageReport {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return append([]UsageReport(nil), endpoint.reports...)
}

// ServeHTTP serves the endpoint /usage.
func (endpoint *UsageEndpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
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
	endpoint.mu.Lock()
	faults := endpoint.faults
	if !faults.Down {
		endpoint.reports = append(endpoint.reports, UsageReport{Holder: holder, Fence: fence, Window: report.Window, Counts: report.Counts, At: time.Now()})
	}
	endpoint.mu.Unlock()
	switch {
	case faults.Down:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case faults.Lost:
		panic(http.ErrAbortHandler)
	}
}
