package quarantine

import "time"

// HandleNotice handles a notice from another node.
func (guard *Guard) HandleNotice(notice Notice) {
	guard.reconciler.recordMentions(notice)
	for _, crash := range notice.Crashes {
		guard.handleCrashReport(notice, crash)
	}
	for index, fingerprint := range notice.Cleared {
		guard.handleAnswerReport(notice, index, fingerprint)
	}
	for _, reservation := range notice.Reservations {
		guard.Tracker.RecordReservation(reservation, time.Now())
	}
	guard.reconcileWith(notice)
	guard.Metrics.Quarantined(guard.Tracker.Quarantined())
}

func (guard *Guard) handleCrashReport(notice Notice, crash CrashReport) {
	crashes, added := guard.Tracker.RecordCrash(crash.Fingerprint, crash.Replica, notice.Reporter, crash.InterruptedAt, time.Now())
	if !added {
		return
	}
	if !notice.Reserves {
		guard.Tracker.SetUnreserved(crash.Fingerprint)
	}
	guard.Logger.Info("replica crash reported by another node", "reporter", notice.Reporter, "replica", crash.Replica, "fingerprint", crash.Fingerprint, "crashes", crashes)
	guard.persistIfQuarantined(crash.Fingerprint, crashes)
}

func (guard *Guard) handleAnswerReport(notice Notice, index int, fingerprint Fingerprint) {
	known := guard.Tracker.Suspected(fingerprint)
	if !guard.clearReported(notice, index, fingerprint) {
		return
	}
	guard.Logger.Info("suspicion cleared by another node", "reporter", notice.Reporter, "fingerprint", fingerprint, "crashes", known.Crashes)
	if known.Reporter == guard.Node { // this node may have stored the record meanwhile
		guard.liftIfQuarantined(fingerprint, known.Crashes)
	}
}

// clearReported drops the crashes that a reported answer disproves: all of them if the notice does not tell when the
// request was answered.
func (guard *Guard) clearReported(notice Notice, index int, fingerprint Fingerprint) bool {
	if index < len(notice.ClearedAt) {
		return guard.Tracker.RecordAnswer(fingerprint, notice.ClearedAt[index])
	}
	cleared := guard.Tracker.Clear(fingerprint)
	guard.Tracker.RecordAnswer(fingerprint, time.Now())
	return cleared
}
