package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["stop"] = runStop
}

const (
	// stopWork is the longest work of an order lookup in the site file.
	stopWork = 540 * time.Millisecond
	grace    = 6 * time.Second
	// stopGap is the pause between two planned stops.
	stopGap = 1300 * time.Millisecond
	// stopClients is the number of clients. Most open a connection for each request, and a sixth
	// use a kept connection every few seconds.
	stopClients = 72
	// patientOne is the number of clients of which one keeps a list for three lifetimes.
	patientOne = 8
)

// planned is a SIGTERM of a machine.
type planned struct {
	front string
	at    time.Time
}

// runStop stops machines in turn, as planned, while clients send requests.
func runStop(r *rig) (bool, error) {
	for i := range 4 {
		s := &searcher{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "order-track", zone: zones[i], slots: 6, queue: 24, rec: r.rec, work: func() time.Duration { return stopWork }}
		r.searchers = append(r.searchers, s)
		if err := s.start(r.store); err != nil {
			return false, err
		}
	}
	r.configure(7, []map[string]any{{
		"name": "r-qmv2937", "hostname": host, "pathPrefix": "/timi402/", "type": "idempotent", "timeoutMs": 6000, "goalMs": 400, "priority": 2, "backend": "order-track", "maxAttempts": 2,
	}})
	if err := r.startVMs(3); err != nil {
		return false, err
	}
	end := time.Now().Add(80 * time.Second)
	var mu sync.Mutex
	var all []tierReply
	var running sync.WaitGroup
	for i := range stopClients {
		running.Go(func() {
			c := &listClient{rig: r, home: i % len(r.vms), keep: 1, pause: 300 * time.Millisecond}
			if i%patientOne == 0 {
				c.keep = 3
			}
			switch {
			case i%6 != 5:
				c.single, c.pause = true, 500*time.Millisecond
			default:
				c.pause = 3 * time.Second
			}
			for time.Now().Before(end) {
				if got, ok := c.lookUp(); ok {
					mu.Lock()
					all = append(all, got)
					mu.Unlock()
				}
			}
		})
	}
	var stops []planned
	time.Sleep(5 * time.Second)
	for i := 0; r.trouble && time.Until(end) > 12*time.Second; i++ {
		v := r.vms[i%len(r.vms)]
		stops = append(stops, planned{front: v.front, at: time.Now()})
		r.rec.log("sigterm", "%s at %s", v.name, v.front)
		took := v.stop()
		r.rec.log("exit", "%s after %v", v.name, took.Round(time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		if err := v.start(); err != nil {
			return false, err
		}
		if err := r.awaitReady(v, 1); err != nil {
			return false, err
		}
		time.Sleep(stopGap)
	}
	running.Wait()
	return judgeStop(r, all, stops), nil
}

// tierReply is a reply and the machine that the request was sent to.
type tierReply struct {
	reply
	front string
}

// listClient is a client that asks the directory where to connect.
type listClient struct {
	rig *rig
	// home is the machine whose directory it asks first, and keep how many lifetimes it keeps a
	// list for.
	home, keep int
	pause      time.Duration
	// single is set if each request gets a connection of its own.
	single bool
	list   []string
	until  time.Time
	failed map[string]time.Time
	front  string
	conn   *clientConn
}

// resolve asks up to three machines for a list, once the present one is too old.
func (c *listClient) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	for i := range 3 {
		list, ttl := c.rig.vms[(c.home+i)%len(c.rig.vms)].resolve(host)
		if len(list) == 0 {
			continue
		}
		c.list, c.until, c.failed = list, time.Now().Add(time.Duration(c.keep)*ttl), map[string]time.Time{}
		if c.conn != nil && !slices.Contains(list, c.front) {
			c.drop()
		}
		return
	}
}

func (c *listClient) drop() {
	c.conn.close()
	c.conn = nil
}

// connect opens a connection to one of the addresses, apart from those that have failed.
func (c *listClient) connect() bool {
	var usable []string
	for _, address := range c.list {
		if _, bad := c.failed[address]; !bad {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		c.until = time.Time{}
		return false
	}
	c.front = usable[rand.IntN(len(usable))]
	conn, err := dial(c.front)
	if err != nil {
		c.failed[c.front] = time.Now()
		return false
	}
	c.conn = conn
	return true
}

// lookUp sends one request. ok is false if there was no connection.
func (c *listClient) lookUp() (got tierReply, ok bool) {
	time.Sleep(rand.N(2 * c.pause))
	c.resolve()
	if c.conn == nil && !c.connect() {
		return tierReply{}, false
	}
	got = tierReply{reply: c.conn.send(c.rig.rec, http.MethodGet, "/timi402/2f", "", 6*time.Second), front: c.front}
	if got.err != nil || got.closes || c.single {
		if got.err != nil {
			c.failed[c.front] = time.Now()
		}
		c.drop()
	}
	time.Sleep(min(got.retryAfter, 2*time.Second))
	return got, true
}

// judgeStop applies the rule LOST: the connection of a request that was passed on to a searcher
// ended without a complete answer, around a SIGTERM of its machine.
func judgeStop(r *rig, replies []tierReply, stops []planned) bool {
	ran := map[string]time.Time{}
	for _, s := range r.searchers {
		for _, one := range s.listRuns() {
			ran[one.request] = one.at
		}
	}
	lost, excused, served := 0, 0, 0
	for _, got := range replies {
		if got.answered {
			served++
			continue
		}
		runAt, passedOn := ran[got.id]
		if !got.written || !passedOn || got.took >= 6*time.Second {
			continue
		}
		cut := got.sentAt.Add(got.took)
		for _, stop := range stops {
			if stop.front != got.front || cut.Before(stop.at) || cut.After(stop.at.Add(grace+time.Second)) {
				continue
			}
			sent := got.sentAt.Sub(stop.at)
			// The excuse of the rule: sent no later than 3 s after the SIGTERM, and the searcher
			// still at work in the last sixth of the grace period.
			if sent <= 3*time.Second && runAt.Add(stopWork).After(stop.at.Add(grace*5/6)) {
				excused++
				continue
			}
			lost++
			r.rec.log("BROKEN", "LOST: request=%s sent %v after the SIGTERM of %s was passed on and cut %v after the SIGTERM: %v",
				got.id, sent.Round(time.Millisecond), got.front, cut.Sub(stop.at).Round(time.Millisecond), got.err)
		}
	}
	summary := fmt.Sprintf("requests=%d answered=%d stops=%d lost=%d excused=%d", len(replies), served, len(stops), lost, excused)
	r.rec.log("summary", "%s", summary)
	fmt.Println(summary)
	return lost > 0
}
