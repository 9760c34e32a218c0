package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

func init() {
	cases["surge"] = runSurge
}

const (
	// maxFDs is the limit of descriptors of a machine.
	maxFDs = 4100
	// surgeUsers is the number of users on an ordinary day. Each keeps one connection and sends
	// a request every userPause, which is below four fifths of idleTimeoutMs.
	surgeUsers = 2400
	userPause  = 11 * time.Second
	// surgeFactor and surgeLength are the largest burst of the site files.
	surgeFactor = 1.8
	surgeLength = 3400 * time.Millisecond
	// calmTime is the time after the burst from which requests are judged: contactMs, and the
	// 5 s in which a machine may count as slowed after clients pressed.
	calmTime = 10 * time.Second
	// routeTimeout is the timeoutMs of the route, and lateBy how much later an answer may come.
	routeTimeout = 6 * time.Second
	lateBy       = 500 * time.Millisecond
	probes       = 40
)

// runSurge lets many users come at once for a moment, and judges requests on new connections some
// time after they have left.
func runSurge(r *rig) (bool, error) {
	for i := range 4 {
		s := &searcher{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "order-track", zone: zones[i], slots: 6, queue: 24, rec: r.rec, work: func() time.Duration {
			return 45*time.Millisecond + rand.N(90*time.Millisecond)
		}}
		r.searchers = append(r.searchers, s)
		if err := s.start(r.store); err != nil {
			return false, err
		}
	}
	r.configure(7, []map[string]any{{
		"name": "r-qmv2937", "hostname": host, "pathPrefix": "/timi402/", "type": "idempotent", "timeoutMs": routeTimeout.Milliseconds(), "goalMs": 400, "priority": 2,
		"backend": "order-track", "maxAttempts": 2,
	}})
	if err := r.startVMs(1); err != nil {
		return false, err
	}
	v := r.vms[0]
	if err := limitFDs(v.process.Process.Pid); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	end := make(chan struct{})
	for range surgeUsers {
		running.Go(func() { user(r, v.front, userPause, end) })
	}
	time.Sleep(userPause + 4*time.Second)
	if r.trouble {
		r.rec.log("burst", "begins, x=%v", surgeFactor)
		left := make(chan struct{})
		more := surgeFactor - 1
		for range int(more * surgeUsers) {
			running.Go(func() { user(r, v.front, surgeLength, left) })
		}
		time.Sleep(surgeLength)
		close(left)
		r.rec.log("burst", "ends")
	}
	time.Sleep(calmTime)
	addresses, _ := v.resolve(host)
	r.rec.log("state", "ready=%t listed=%v", v.isReady(), addresses)
	broken := judgeSurge(r, r.probe(v.front))
	close(end)
	running.Wait()
	return broken, nil
}

// user opens a connection at a random moment within pause, and sends a request on it every pause
// until end.
func user(r *rig, front string, pause time.Duration, end <-chan struct{}) {
	var c *clientConn
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for wait := rand.N(pause); ; wait = pause {
		select {
		case <-end:
			return
		case <-time.After(wait):
		}
		if c == nil {
			var err error
			if c, err = dial(front); err != nil {
				continue
			}
		}
		if got := c.send(r.rec, http.MethodGet, "/timi402/2f", "", routeTimeout); got.err != nil || got.closes {
			c.close()
			c = nil
		}
	}
}

// probe sends requests on new connections.
func (r *rig) probe(front string) []reply {
	var mu sync.Mutex
	var replies []reply
	var running sync.WaitGroup
	for range probes {
		running.Go(func() {
			got := reply{sentAt: time.Now()}
			if c, err := dial(front); err == nil {
				got = c.send(r.rec, http.MethodGet, "/timi402/2f", "", routeTimeout)
				c.close()
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, got)
		})
		time.Sleep(20 * time.Millisecond)
	}
	running.Wait()
	return replies
}

// judgeSurge applies the rule CONFIG: of the requests without an answer at the time-out of their
// route, more than half have none half a second later.
func judgeSurge(r *rig, replies []reply) bool {
	late, never, unconnected := 0, 0, 0
	for _, got := range replies {
		switch {
		case !got.written:
			unconnected++
		case !got.answered && got.took >= routeTimeout+lateBy:
			late++
			never++
			r.rec.log("BROKEN", "CONFIG: request=%s has no answer after %v", got.id, got.took.Round(time.Millisecond))
		case got.took >= routeTimeout:
			late++
		}
	}
	summary := fmt.Sprintf("requests=%d late=%d never_answered=%d not_connected=%d", len(replies), late, never, unconnected)
	r.rec.log("summary", "%s", summary)
	fmt.Println(summary)
	return never > 0 && 2*never > late
}

// limitFDs sets the limit of descriptors of a process that this one started.
func limitFDs(pid int) error {
	limit := syscall.Rlimit{Cur: maxFDs, Max: maxFDs}
	const fileLimit = 7
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), fileLimit, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
