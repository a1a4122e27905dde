package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// CloudCall is what all calls to the platform by the holder of a duty have in common.
type CloudCall struct {
	Holder string
	Fence  int64
	At     time.Time
}

// UsageReport is a usage report that the platform accepted.
type UsageReport struct {
	CloudCall
	Window int64
	Counts map[string]int64
}

// ScaleOrder is an order for replicas that the platform received. Refused is true if it had none to give.
type ScaleOrder struct {
	CloudCall
	Service, Zone string
	Spot          bool
	Count         int
	Refused       bool
}

// CloudFaults are the injected faults. The zero value injects none.
type CloudFaults struct {
	// Down rejects calls without recording them. Lost records calls and closes the connection without a response.
	Down, Lost bool
}

// CloudEndpoint is the platform's endpoint for usage reports and orders for replicas. It boots no replicas. It is safe for concurrent use.
type CloudEndpoint struct {
	// MaxReplicas is the highest count that an order gets; zero for any.
	MaxReplicas int

	mu      sync.Mutex
	faults  CloudFaults
	reports []UsageReport
	orders  []ScaleOrder
}

// SetFaults replaces the injected faults.
func (endpoint *CloudEndpoint) SetFaults(faults CloudFaults) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.faults = faults
}

// Reports returns the accepted reports, oldest first.
func (endpoint *CloudEndpoint) Reports() []UsageReport {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return append([]UsageReport(nil), endpoint.reports...)
}

// Orders returns the received orders, oldest first.
func (endpoint *CloudEndpoint) Orders() []ScaleOrder {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return append([]ScaleOrder(nil), endpoint.orders...)
}

// ServeHTTP serves the endpoints /usage and /scale.
func (endpoint *CloudEndpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	document := struct {
		Window  int64            `json:"window-id"`
		Counts  map[string]int64 `json:"counts"`
		Service string           `json:"service"`
		Zone    string           `json:"zone"`
		Spot    bool             `json:"spot"`
		Count   *int             `json:"desired-count"`
	}{}
	fence, err := strconv.ParseInt(request.Header.Get("Fence-Token"), 10, 64)
	call := CloudCall{Holder: request.Header.Get("Duty-Holder"), Fence: fence, At: time.Now()}
	if err != nil || call.Holder == "" || json.NewDecoder(request.Body).Decode(&document) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	status := http.StatusOK
	switch {
	case endpoint.faults.Down:
		status = http.StatusServiceUnavailable
	case request.URL.Path == "/usage" && document.Counts != nil:
		endpoint.reports = append(endpoint.reports, UsageReport{CloudCall: call, Window: document.Window, Counts: document.Counts})
	case request.URL.Path == "/scale" && document.Count != nil && document.Service != "" && document.Zone != "":
		order := ScaleOrder{CloudCall: call, Service: document.Service, Zone: document.Zone, Spot: document.Spot, Count: *document.Count}
		if order.Refused = endpoint.MaxReplicas > 0 && order.Count > endpoint.MaxReplicas; order.Refused {
			status = http.StatusConflict
		}
		endpoint.orders = append(endpoint.orders, order)
	default:
		status = http.StatusBadRequest
	}
	if endpoint.faults.Lost {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(status)
}
