package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["twice"] = func(r *rig) (bool, error) { return runExtra(r, true) }
	cases["mixed"] = func(r *rig) (bool, error) { return runExtra(r, false) }
}

// Doses of the disruption, those of the site file for additional answers that arrive late: the
// share of the searchers, the share of their answers, and how long it lasts. It comes twice.
const (
	extraServers = 0.5
	extraShare   = 0.04
	extraLength  = 5 * time.Second
	extraPause   = 4 * time.Second
	extraClients = 16
)

// disruption is on during two periods of extraLength after begin.
type disruption struct {
	begun atomic.Int64
}

func (d *disruption) begin() {
	d.begun.Store(time.Now().UnixNano())
}

func (d *disruption) isOn() bool {
	begun := d.begun.Load()
	if begun == 0 {
		return false
	}
	since := time.Since(time.Unix(0, begun)) - extraPause
	return since >= 0 && since < 2*extraLength+extraPause && since%(extraLength+extraPause) < extraLength
}

// runExtra runs searchers of which some send additional bytes after an answer, late: at the
// point where the next answer on the connection is expected. If refusals is set, the bytes
// have the form of a refusal and the requests must not run twice. Otherwise they have the form
// of a success, and no client may get them.
func runExtra(r *rig, refusals bool) (bool, error) {
	var trouble disruption
	for i := range 4 {
		s := &searcher{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "order-track", zone: zones[i], slots: 6, queue: 24, rec: r.rec, work: func() time.Duration {
			return 45*time.Millisecond + rand.N(90*time.Millisecond)
		}}
		if r.trouble && float64(i) < extraServers*4 {
			s.beforeRun = func(c net.Conn, request, lastID string) {
				if lastID == "" || !trouble.isOn() || rand.Float64() >= extraShare {
					return
				}
				r.rec.log("extra", "searcher=%s after=%s while=%s", s.id, lastID, request)
				if refusals {
					_, _ = fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nSamphirestair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				} else {
					body := "bytes of no request"
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", s.stamp(), len(body), body)
				}
			}
		}
		r.searchers = append(r.searchers, s)
		if err := s.start(r.store); err != nil {
			return false, err
		}
	}
	route := map[string]any{
		"name": "r-qmv2937", "hostname": host, "pathPrefix": "/timi402/", "type": "idempotent", "timeoutMs": 6000, "goalMs": 400, "priority": 2, "backend": "order-track", "maxAttempts": 2,
	}
	method := http.MethodGet
	if refusals {
		route["type"], method = "non_idempotent", http.MethodPost
	}
	r.configure(7, []map[string]any{route})
	if err := r.startVMs(2); err != nil {
		return false, err
	}
	trouble.begin()
	replies := r.loadAll(method, "/timi402/2f", extraClients, 2*(extraPause+extraLength)+2*time.Second)
	return judgeExtra(r, replies, refusals), nil
}

// loadAll runs clients, each on a connection of its own, for some time.
func (r *rig) loadAll(method, path string, clients int, length time.Duration) []reply {
	var mu sync.Mutex
	var all []reply
	var running sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		running.Go(func() {
			var c *clientConn
			for time.Now().Before(end) {
				if c == nil {
					var err error
					if c, err = dial(r.vms[i%len(r.vms)].front); err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				got := c.send(r.rec, method, path, "", 6*time.Second)
				mu.Lock()
				all = append(all, got)
				mu.Unlock()
				if got.err != nil || got.closes {
					c.close()
					c = nil
				}
				time.Sleep(max(rand.N(200*time.Millisecond), min(got.retryAfter, 2*time.Second)))
			}
			if c != nil {
				c.close()
			}
		})
	}
	running.Wait()
	return all
}

func judgeExtra(r *rig, replies []reply, refusals bool) bool {
	ran := map[string]int{}
	total := 0
	for _, s := range r.searchers {
		for _, one := range s.listRuns() {
			ran[one.request]++
			total++
		}
	}
	twice, refused, foreign, ok := 0, 0, 0, 0
	for _, got := range replies {
		switch {
		case got.status/100 == 2 && got.body != bodyOf(got.id):
			foreign++
			r.rec.log("BROKEN", "MIXED: request=%s got the body %q", got.id, short(got.body))
		case got.status/100 == 2:
			ok++
		}
		if !refusals {
			continue
		}
		if ran[got.id] > 1 {
			twice++
			r.rec.log("BROKEN", "TWICE: request=%s ran %d times", got.id, ran[got.id])
		}
		if promise := got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421; promise && ran[got.id] > 0 {
			refused++
			r.rec.log("BROKEN", "REFUSED: request=%s was answered %d and ran", got.id, got.status)
		}
	}
	summary := fmt.Sprintf("requests=%d served=%d runs=%d foreign=%d twice=%d refused_but_ran=%d", len(replies), ok, total, foreign, twice, refused)
	r.rec.log("summary", "%s", summary)
	fmt.Println(summary)
	return foreign+twice+refused > 0
}
