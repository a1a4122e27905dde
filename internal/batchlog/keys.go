package batchlog

import (
	"fmt"
)

// endedPrefix lists the jobs that have ended, with the time of day in ms, until they are collected.
const endedPrefix = "ended/"

func jobPrefix(id string) string { return "batch/" + id + "/" }

func chunkKey(id string, n int) string { return fmt.Sprintf("batch/%s/job/%04d", id, n) }

func endKey(id string) string { return "batch/" + id + "/end" }

func ownerKey(id string) string { return "batch/" + id + "/owner" }

func pageKey(id string, n int) string { return fmt.Sprintf("batch/%s/page/%06d", id, n) }

func unfinishedKey(id string) string { return "batch/" + id + "/unfinished" }

func ownedPrefix(node string) string { return "owners/" + node + "/" }

func endedKey(id string) string { return endedPrefix + id }

func ownedKey(node, id string) string { return ownedPrefix(node) + id }

// LeftKey is the key that exists from a node's first job on. While it does not, no process of the node has left a job behind.
func LeftKey(node string) string { return "left/" + node }
