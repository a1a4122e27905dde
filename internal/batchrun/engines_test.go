package batchrun_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// engines simulates all replicas. Each item has a fixed number of events; versions, delays and faults are set for each replica.
type engines struct {
	mu sync.Mutex
	// breakShare is the probability that a stream breaks off after an event, failShare that a request is answered with 500,
	// refuseShare that it is refused.
	breakShare, failShare, refuseShare float64
	random                             *rand.Rand
	versions                           map[string]int64
	running                            map[string]int // by item
	starts                             map[string]int
	startsAt                           map[string]int   // by replica
	resumed                            map[string]int64 // the event after which the last run of an item resumed
	// gaps is the time between two events of a replica; defaultGap where it is not set.
	gaps map[string]time.Duration
	// failing selects, by replica, the items that the replica answers with 500 at once; failed counts these answers.
	failing map[string]func(item string) bool
	failed  int
	// refusing and breaking are the replicas that refuse all items, and that break off all streams before the first event.
	refusing, breaking map[string]bool
	// outdated are the replicas at whose address another process answers.
	outdated map[string]bool
	// unreachable are the replicas that refuse connections.
	unreachable map[string]bool
	// scorer answers scoring requests; nil answers at once.
	scorer *scorers
}

// fails reports whether a replica is to fail an item, and counts the failure.
func (engines *engines) fails(replica, item string) bool {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	if shouldFail := engines.failing[replica]; shouldFail == nil || !shouldFail(item) {
		return false
	}
	engines.failed++
	return true
}

// is reports whether a replica is in a set.
func (engines *engines) is(set map[string]bool, replica string) bool {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return set[replica]
}

func failAll(string) bool { return true }

// startedAt returns the number of runs at a replica.
func (engines *engines) startedAt(replica string) int {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return engines.startsAt[replica]
}

const defaultGap = 30 * time.Millisecond

// started returns the number of runs of all items.
func (engines *engines) started() int {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	count := 0
	for _, starts := range engines.starts {
		count += starts
	}
	return count
}

func (engines *engines) gap(replica string) time.Duration {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return cmp.Or(engines.gaps[replica], defaultGap)
}

func (engines *engines) draw(share float64) bool {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return engines.random.Float64() < share
}

func (engines *engines) version(replica string) int64 {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return engines.versions[replica]
}

// Prefixes of item identifiers that select a number of events.
const (
	longJob      = "long"
	longEvents   = 60
	mediumItem   = "middle"
	mediumEvents = 30
)

func eventCount(item string) int64 {
	if strings.HasPrefix(item, longJob) {
		return longEvents
	}
	if strings.HasPrefix(item, mediumItem) {
		return mediumEvents
	}
	return int64(len(item))%5 + 3
}

func eventText(item string, event int64) string { return fmt.Sprint(item, " event ", event) }

func expectedText(item string) string {
	var parts []string
	for event := int64(1); event <= eventCount(item); event++ {
		parts = append(parts, eventText(item, event))
	}
	return strings.Join(parts, "\n")
}

// Send implements backend.Sender.
func (engines *engines) Send(ctx context.Context, replica *catalog.Replica, request *backend.Request) (*backend.Response, error) {
	if strings.HasPrefix(replica.Service, "scorer") && engines.scorer != nil {
		return engines.scorer.send(ctx, replica, request)
	}
	if replica.Service == "scorer" {
		return answer(http.StatusOK, "score of "+request.ID, strings.NewReader("")), nil
	}
	if engines.is(engines.unreachable, replica.ID) {
		return nil, errors.Mark(backend.ErrConnectionRefused, backend.ErrNotSent)
	}
	if engines.is(engines.outdated, replica.ID) {
		misdirected := answer(http.StatusMisdirectedRequest, "", strings.NewReader(""))
		misdirected.NotExecuted = true
		return misdirected, nil
	}
	engines.mu.Lock()
	engines.starts[request.ID]++
	engines.startsAt[replica.ID]++
	engines.resumed[request.ID] = request.ResumeAfter
	engines.mu.Unlock()
	switch {
	case engines.fails(replica.ID, request.ID):
		return answer(http.StatusInternalServerError, "", strings.NewReader("")), nil
	case engines.draw(engines.refuseShare), engines.is(engines.refusing, replica.ID):
		refused := answer(http.StatusServiceUnavailable, "", strings.NewReader(""))
		refused.NotExecuted = true
		return refused, nil
	case engines.draw(engines.failShare):
		return answer(http.StatusInternalServerError, "", strings.NewReader("")), nil
	}
	reader, writer := io.Pipe()
	go engines.generate(ctx, replica.ID, request, writer)
	response := answer(http.StatusOK, "", reader)
	response.WeightVersion = engines.version(replica.ID)
	return response, nil
}

func answer(status int, stamp string, body io.Reader) *backend.Response {
	return &backend.Response{Status: status, Header: http.Header{}, Body: io.NopCloser(body), Length: -1, Signature: stamp}
}

// generate writes events as lines of the form "ID VERSION TEXT".
func (engines *engines) generate(ctx context.Context, replica string, request *backend.Request, writer *io.PipeWriter) {
	for event := request.ResumeAfter + 1; event <= eventCount(request.ID); event++ {
		select {
		case <-ctx.Done():
			writer.CloseWithError(ctx.Err())
			return
		case <-time.After(engines.gap(replica)):
		}
		if engines.draw(engines.breakShare) || engines.is(engines.breaking, replica) {
			writer.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		if _, err := fmt.Fprintf(writer, "%d %d %s\n", event, engines.version(replica), eventText(request.ID, event)); err != nil {
			return
		}
	}
	writer.Close()
}

type lineDecoder struct{}

// Events implements batchrun.Decoder.
func (lineDecoder) Events(body io.Reader) batchrun.EventReader { return &lineReader{body: body} }

type lineReader struct {
	body io.Reader
	rest []byte
}

// Next implements batchrun.EventReader.
func (reader *lineReader) Next() (batchrun.Event, error) {
	for {
		if line, rest, found := bytes.Cut(reader.rest, []byte("\n")); found {
			reader.rest = rest
			parts := strings.SplitN(string(line), " ", 3)
			id, _ := strconv.ParseInt(parts[0], 10, 64)
			version, _ := strconv.ParseInt(parts[1], 10, 64)
			return batchrun.Event{ID: id, Version: version, Data: []byte(parts[2])}, nil
		}
		buffer := make([]byte, 256)
		count, err := reader.body.Read(buffer)
		reader.rest = append(reader.rest, buffer[:count]...)
		if err != nil {
			return batchrun.Event{}, err
		}
	}
}
