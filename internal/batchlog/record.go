package batchlog

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

// Record is a job as stored.
type Record struct {
	Job     *batchv1.Job
	Results []*batchv1.Result
	// Unfinished holds the latest saved texts of unfinished items.
	Unfinished []*batchv1.Partial
	Ended      bool
	// EndedAt is when the job ended, by the clock of the node that ended it; zero if it has not.
	EndedAt time.Time
	Owner   *batchv1.Ownership
	pages   int
}

// Load reads a job. It returns ErrNotFound if the job was never accepted or has been removed, also in part.
func (log *Log) Load(ctx context.Context, id string) (*Record, error) {
	listing, err := log.Store.List(ctx, jobPrefix(id))
	if err != nil {
		return nil, err
	}
	record := &Record{}
	var encoded []byte
	for _, item := range listing.Items {
		if err := record.add(strings.TrimPrefix(item.Key, jobPrefix(id)), item.Value, &encoded); err != nil {
			return nil, errors.Wrapf(err, "job %s", id)
		}
	}
	if len(encoded) == 0 {
		return nil, ErrNotFound
	}
	if record.Owner == nil && record.EndedAt.IsZero() {
		if record.EndedAt, err = log.endOf(ctx, id, record.Ended); err != nil {
			return nil, err
		}
		record.Ended = true
	}
	record.Job = &batchv1.Job{}
	if err := proto.Unmarshal(encoded, record.Job); err != nil {
		return nil, errors.Wrapf(err, "decode job %s", id)
	}
	return record, nil
}

// endOf reads when a job ended whose end was not found or has no time: it may have ended while its keys were listed, which takes several
// calls for a large job, or a build has ended it that writes the time into the entry under the ended jobs only.
func (log *Log) endOf(ctx context.Context, id string, ended bool) (time.Time, error) {
	if !ended {
		if err := log.checkEnded(ctx, id); err != nil {
			return time.Time{}, err
		}
	}
	entry, found, err := log.Store.Get(ctx, endedKey(id))
	if err != nil {
		return time.Time{}, err
	}
	if !found {
		return time.Time{}, ErrNotFound
	}
	return decodeTime(entry.Value)
}

// add decodes the value of one key of a job. Keys must be added in lexical order, so that chunks and pages are in sequence.
func (record *Record) add(name string, value []byte, encoded *[]byte) error {
	switch {
	case strings.HasPrefix(name, "job/"):
		*encoded = append(*encoded, value...)
	case name == "end":
		record.Ended = true
		if len(value) == 0 {
			return nil
		}
		var err error
		record.EndedAt, err = decodeTime(value)
		return err
	case name == "owner":
		record.Owner = &batchv1.Ownership{}
		return proto.Unmarshal(value, record.Owner)
	case strings.HasPrefix(name, "page/"):
		page := &batchv1.ResultPage{}
		if err := proto.Unmarshal(value, page); err != nil {
			return err
		}
		record.Results = append(record.Results, page.GetResults()...)
		record.pages++
	case name == "unfinished":
		unfinished := &batchv1.Unfinished{}
		if err := proto.Unmarshal(value, unfinished); err != nil {
			return err
		}
		record.Unfinished = unfinished.GetPartials()
	}
	return nil
}
