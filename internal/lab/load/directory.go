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
	// directoryTimeout bounds one question for addresses.
	directoryTimeout = time.Second
	// minLifetime bounds how often addresses are asked for.
	minLifetime = 100 * time.Millisecond
)

// listing is the answer to a question for addresses.
type addressList struct {
	Addresses      []string `json:"addresses"`
	LifetimeMillis int      `json:"lifetime_ms"`
}

// directory keeps the addresses of entry VMs for their lifetime. When the
// lifetime is over it asks one of them again, and if none answers the entries
// it was made with. It is safe for concurrent use.
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

// refresh asks for addresses if the lifetime of the present ones is over. It
// keeps the old ones if nobody answers. Only one goroutine may call it.
func (d *directory) refresh() error {
	sources, due := d.refreshSources()
	if !due {
		return nil
	}
	var err error
	for _, address := range sources {
		var found addressList
		asked := time.Now()
		if found, err = d.fetch(address); err == nil {
			d.store(found, asked)
			return nil
		}
	}
	return errors.Wrap(err, "load: no entry VM tells its addresses")
}

// sources returns whom to ask, and whether it is time to ask.
func (d *directory) refreshSources() ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires) {
		return nil, false
	}
	return append(d.shuffledLocked(d.current), d.shuffledLocked(d.entries)...), true
}

// store keeps addresses whose lifetime counts from the question.
func (d *directory) store(found addressList, asked time.Time) {
	lifetime := time.Duration(found.LifetimeMillis) * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = found.Addresses
	d.expires = asked.Add(max(lifetime, minLifetime))
}

// moveOn ends the lifetime of the present addresses.
func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Time{}
}

// pick returns one of the present addresses that has not been tried.
func (d *directory) pick(tried coll.Set[string]) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := make([]string, 0, len(d.current))
	for _, address := range d.current {
		if !tried.Has(address) {
			left = append(left, address)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	return left[d.rand.IntN(len(left))], true
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
