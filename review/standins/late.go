package main

import (
	"bytes"
	"fmt"
	"syscall"
	"time"
)

const (
	// versionPace is the time between two versions that the trainer names.
	versionPace = 4 * time.Second
	warmVersion = 4
	// cutLimit is twice the longest cut of the site.
	cutLimit = 11 * time.Second
	// freezeDelay is how long after the order the process that gave it is frozen, and freezeTime how long it stands still.
	freezeDelay = 100 * time.Millisecond
	freezeTime  = 3500 * time.Millisecond
	// healDelay is how long after the order the link heals: the fourth retransmission, after 3 s, is lost as well. The next one comes after 6.2 s.
	healDelay = 4 * time.Second
	thawSlack = 300 * time.Millisecond
	// afterHeal covers that retransmission.
	afterHeal = 4 * time.Second
)

// lateOrder cuts a replica off, and freezes the process that gives orders just after it has sent one to that replica. It wakes, and later the link
// heals. No order with a lower fence may reach the replica after one with a higher fence, but for thawSlack after the link has healed.
func lateOrder(trouble bool, records *record) (broken bool, err error) {
	all, err := newDeployment(sizes{frontsPerZone: 1, engines: 3, apps: 1, eventTime: 100 * time.Millisecond, eventsOf: func(string) int64 { return 1 }}, records)
	if err != nil {
		return false, err
	}
	defer all.stop()
	links := make(map[*replica]*link)
	for _, member := range all.engines {
		member.onStart = func() error {
			way, err := newLink(member.address)
			if err == nil {
				links[member], member.registered = way, way.address
			}
			return err
		}
	}
	if err := all.start(); err != nil {
		return false, err
	}
	version := int64(2)
	name := func() {
		all.store.write("op/version/"+modelName, map[string]any{"model": modelName, "version": version})
		records.note("version %d is named", version)
		version++
	}
	for version <= warmVersion {
		name()
		time.Sleep(versionPace)
	}
	if !trouble {
		for version <= warmVersion+2 {
			name()
			time.Sleep(versionPace)
		}
		return all.fenceFell(excuse{}), nil
	}
	victim := all.oldest()
	sent := make(chan struct{}, 1)
	links[victim].setCut(func(content []byte) {
		if bytes.Contains(content, []byte("/thistlewalk/order")) {
			select {
			case sent <- struct{}{}:
			default:
			}
		}
	})
	records.note("the link to %s is cut", victim.id)
	held, cutAt := false, time.Now()
	for !held && time.Since(cutAt) < cutLimit-healDelay-versionPace {
		name()
		select {
		case <-sent:
			held = true
		case <-time.After(versionPace):
		}
	}
	giver := all.lastGiver()
	if !held || giver == nil {
		return false, fmt.Errorf("no order is sent to %s", victim.id)
	}
	ordered := time.Now()
	records.note("%s sends an order to %s; the cut holds it up", giver.name, victim.id)
	time.Sleep(freezeDelay)
	giver.signal(syscall.SIGSTOP)
	records.note("%s is frozen", giver.name)
	time.Sleep(freezeTime)
	giver.signal(syscall.SIGCONT)
	woken := time.Now()
	records.note("%s wakes", giver.name)
	time.Sleep(time.Until(ordered.Add(healDelay)))
	healed := time.Now()
	links[victim].heal()
	records.note("the link to %s has healed", victim.id)
	time.Sleep(afterHeal)
	return all.fenceFell(excuse{victim: victim, healed: healed, giver: giver.name, woken: woken}), nil
}

// oldest returns the replica with the oldest version among those that have had an order.
func (all *deployment) oldest() *replica {
	best := all.engines[0]
	for _, member := range all.engines {
		if len(member.received()) > 0 && member.currentVersion() < best.currentVersion() {
			best = member
		}
	}
	return best
}

// lastGiver returns the front or store machine that gave the last order.
func (all *deployment) lastGiver() *node {
	last := receivedOrder{}
	for _, member := range all.engines {
		for _, order := range member.received() {
			if order.at.After(last.at) {
				last = order
			}
		}
	}
	return all.node(last.holder)
}

// excuse tells which orders don't count: those that reach the victim within thawSlack after its link has healed, and those of the giver that arrive
// within thawSlack after it woke.
type excuse struct {
	victim        *replica
	healed, woken time.Time
	giver         string
}

func (excuse excuse) covers(member *replica, order receivedOrder) bool {
	soonAfter := func(moment time.Time) bool { return !order.at.Before(moment) && order.at.Sub(moment) <= thawSlack }
	return member == excuse.victim && soonAfter(excuse.healed) || order.holder == excuse.giver && soonAfter(excuse.woken)
}

// fenceFell reports whether a replica got an order with a lower fence after one with a higher fence.
func (all *deployment) fenceFell(excuse excuse) (broken bool) {
	for _, member := range all.engines {
		highest := int64(0)
		for _, order := range member.received() {
			if excuse.covers(member, order) {
				continue
			}
			if order.fence < highest {
				all.records.note("BROKEN: replica %s got an order of %s with fence %d after one with fence %d, %.3f s after its link healed",
					member.id, order.holder, order.fence, highest, order.at.Sub(excuse.healed).Seconds())
				broken = true
			}
			highest = max(highest, order.fence)
		}
	}
	return broken
}
