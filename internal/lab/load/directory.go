package load

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
)

const (
	pathAddresses = "/v1/addresses"
	// directoryTimeout limits the duration of one request for addresses.
	directoryTimeout = time.Second
	// minLifetime is the shortest time between two refreshes, except that
	// expire allows one at once.
	minLifetime = 100 * time.Millisecond
)

// addressList is an entry VM's answer to a request for addresses.
type addressList struct {
	Addresses      []string `json:"addresses"`
	LifetimeMillis int      `json:"lifetime_ms"`
}

// directory caches the addresses of entry VMs for the lifetime that the VM which
// returned them states. After that it requests new ones, first from the cached
// addresses and then from the configured entries. It is safe for concurrent use.
type directory struct {
	http    *fasthttp.Client
	entries []string
	rand    *rand.Rand

	mu      sync.Mutex
	current []string
	expires time.Time
}

func newDirectory(http *fasthttp.Client, options Options) *directory {
	return &directory{
		http:    http,
		entries: options.Entries,
		rand:    rand.New(rand.NewPCG(options.Seed, 1)),
	}
}

// refresh requests new addresses if the cached ones have expired. It keeps the
// old ones and returns the last error if no VM answers. Only one goroutine at a
// time may call it.
func (d *directory) refresh() error {
	sources, expired := d.refreshSources()
	if !expired {
		return nil
	}
	var err error
	for _, address := range sources {
		var found addressList
		requestedAt := time.Now()
		if found, err = d.fetch(address); err == nil {
			d.store(found, requestedAt)
			return nil
		}
	}
	return errors.Wrap(err, "load: no entry VM returned addresses")
}

// refreshSources returns the addresses to request new ones from, in order, and
// whether the cached ones have expired.
func (d *directory) refreshSources() ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires) {
		return nil, false
	}
	return append(d.shuffledLocked(d.current), d.shuffledLocked(d.entries)...), true
}

// store caches addresses. Their lifetime counts from the time of the request.
func (d *directory) store(found addressList, requestedAt time.Time) {
	lifetime := time.Duration(found.LifetimeMillis) * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = found.Addresses
	d.expires = requestedAt.Add(max(lifetime, minLifetime))
}

// expire makes the next refresh request new addresses. The cached ones stay in
// use until then.
func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Time{}
}

// pick returns a random cached address that is not in tried, or false if there
// is none.
func (d *directory) pick(tried coll.Set[string]) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	untried := make([]string, 0, len(d.current))
	for _, address := range d.current {
		if !tried.Has(address) {
			untried = append(untried, address)
		}
	}
	if len(untried) == 0 {
		return "", false
	}
	return untried[d.rand.IntN(len(untried))], true
}

func (d *directory) shuffledLocked(addresses []string) []string {
	shuffled := append([]string(nil), addresses...)
	d.rand.Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	return shuffled
}

func (d *directory) fetch(address string) (addressList, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + pathAddresses)
	if err := d.http.DoTimeout(req, resp, directoryTimeout); err != nil {
		return addressList{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return addressList{}, errors.Newf("status %d", resp.StatusCode())
	}
	var found addressList
	if err := json.Unmarshal(resp.Body(), &found); err != nil {
		return addressList{}, err
	}
	if len(found.Addresses) == 0 {
		return addressList{}, errors.New("no addresses")
	}
	return found, nil
}
