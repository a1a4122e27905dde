package quarantine

import (
	"bytes"
	"time"
)

// explanation returns the request that the newest end under another is put down to; false if that end counts against the request itself.
//
// A replica that ends breaks off all that it runs. Requests that have rested for the same time come due in one moment, and where few replicas
// are left they reach the same one: its end says nothing of the less suspected of them, which has had no trial of its own. An end is put down
// only to a request in quarantine, which is sent no more, so that it does not spoil the next trial too. One trial more is left to a request
// by this, as in quarantine: one that ends replicas itself gains no more runs by its company than if all nodes knew all of it.
//
// It must be called with mu held.
func (book *Book) explanation(fingerprint Fingerprint, known *entry, now time.Time) (culprit Fingerprint, explained bool) {
	if known.crashes < quarantineAt || known.crashes >= trialsUntil || len(known.ends) == 0 {
		return Fingerprint{}, false
	}
	if known.judgedAt != book.changes {
		known.culprit, known.explained = book.findCulprit(fingerprint, known, now)
		known.judgedAt = book.changes
	}
	return known.culprit, known.explained
}

// findCulprit looks through all requests. It must be called with mu held.
func (book *Book) findCulprit(fingerprint Fingerprint, known *entry, now time.Time) (Fingerprint, bool) {
	newest := known.ends[len(known.ends)-1].Replica
	for other, suspected := range book.entries {
		if suspected.quarantined(now) && suspected.remembers(newest) && moreSuspected(other, suspected, fingerprint, known) {
			return other, true
		}
	}
	return Fingerprint{}, false
}

// moreSuspected is a strict order, by how many replicas ended: of requests that ended the same ones, one is put down to no other. Of equals all
// nodes take the same.
func moreSuspected(one Fingerprint, first *entry, other Fingerprint, second *entry) bool {
	if first.crashes != second.crashes {
		return first.crashes > second.crashes
	}
	return bytes.Compare(one[:], other[:]) < 0
}

// putDownTo returns the fingerprint of the request that the newest end is put down to, as logs name it; empty for none.
func (decision Decision) putDownTo() string {
	if !decision.Explained {
		return ""
	}
	return decision.Culprit.String()
}
