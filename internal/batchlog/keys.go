package batchlog

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// encodeTime encodes a time as Unix milliseconds in decimal.
func encodeTime(at time.Time) []byte { return strconv.AppendInt(nil, at.UnixMilli(), 10) }

func decodeTime(encoded []byte) (time.Time, error) {
	milliseconds, err := strconv.ParseInt(string(encoded), 10, 64)
	return time.UnixMilli(milliseconds), errors.Wrap(err, "decode a time")
}

// endedPrefix is the prefix of the entries of ended jobs. Their value is the time of the end. They exist until the job is
// collected.
const endedPrefix = "ended/"

func jobPrefix(id string) string { return "batch/" + id + "/" }

func chunkPrefix(id string) string { return "batch/" + id + "/job/" }

func chunkKey(id string, n int) string { return fmt.Sprintf("%s%04d", chunkPrefix(id), n) }

// endKey returns the key that exists once a job has ended. Its value is the time of the end; earlier builds leave it empty.
func endKey(id string) string { return "batch/" + id + "/end" }

func ownerKey(id string) string { return "batch/" + id + "/owner" }

func pageKey(id string, n int) string { return fmt.Sprintf("batch/%s/page/%06d", id, n) }

func unfinishedKey(id string) string { return "batch/" + id + "/unfinished" }

func ownedPrefix(node string) string { return "owners/" + node + "/" }

func endedKey(id string) string { return endedPrefix + id }

func ownedKey(node, id string) string { return ownedPrefix(node) + id }

// LeftoverWorkKey returns the key that exists once a node has owned a job. Without it, no process of the node has left a job
// behind.
func LeftoverWorkKey(node string) string { return "left/" + node }
