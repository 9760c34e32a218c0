package cost

import (
	"math"
	"time"
)

const (
	// usualSlowdown is the figure of a server that is as fast as usual, in percent.
	usualSlowdown = 100
	// minSlowdown and maxSlowdown bound the effect of one figure, as factors. They leave
	// room around the range that servers are known to report, 0.5 to 3.
	minSlowdown, maxSlowdown = 0.2, 10
	// maxPace bounds the slowdown that the time of an answer suggests, unless the server reports
	// a greater one: requests with much more work than usual say nothing about the server.
	maxPace = 3.5
	// paceNoise is the part of the mean squared difference between that slowdown and the
	// reported one that is taken for noise of the former. The rest is that the reported one is
	// old.
	paceNoise = 0.4
	// minRunShare bounds the share of the time of an answer that is taken for waiting: at least
	// 1/minRunShare is work, since an expected wait may not have come.
	minRunShare = 10
	// minVariance keeps quotients finite while all servers report the same.
	minVariance = 1e-4
	// reportLifetime is the time since the last fourth figure after which a server counts
	// as one that reports none, as after a change to an older version.
	reportLifetime = 30 * time.Second
	// maxOwn bounds the attempts of this VM that are tracked for one server. It is above
	// the number of connections that a VM uses; attempts beyond it are not counted.
	maxOwn = 32
	// runningResidual is the mean part of its work that a running request has left.
	runningResidual = 0.5
)

// Fleet holds what the figures of all servers have in common.
type Fleet struct {
	slowdown, queue fade
	// paceError is the mean squared difference of the slowdown that the time of an answer
	// suggests and the reported one.
	paceError float64
	// timeRatio is the mean ratio of the time of answers to what was expected when they were
	// sent. It is 1 if expectations are right on average.
	timeRatio float64
}

// NewFleet returns a Fleet that assumes a usual load.
func NewFleet() *Fleet {
	return &Fleet{slowdown: newFade(0.1, minSlowdown), queue: newFade(1, 0), paceError: 1, timeRatio: 1}
}

// Server is what this VM knows about the work of one backend server.
type Server struct {
	slots int
	// slowdown is the factor by which work takes longer than usual now, and queue the number
	// of requests that run or wait there for other VMs.
	slowdown, queue figure
	own             []attempt
	// silentSince is the time of the last answer, or of the first attempt sent after it.
	silentSince time.Time
}

// attempt is a sub-request of this VM without an answer.
type attempt struct {
	request Request
	sentAt  time.Time
	outlook Outlook
}

// startsAt returns when the attempt probably starts to run.
func (a *attempt) startsAt() time.Time {
	return a.sentAt.Add(a.outlook.Wait)
}

// Report is what a server's answer says about its load. Age is the time since it was sent.
type Report struct {
	Queued, Slots int
	// Slowdown is how long work takes, in percent of the usual, or 0 if it is not told.
	Slowdown int
	Age      time.Duration
}

// Outlook is what is believed of a request that would be sent to a server now.
type Outlook struct {
	// Completion is the expected time until it is answered, of which Wait passes before it
	// runs.
	Completion, Wait time.Duration
	// Spread is the standard deviation of Completion that is due to the age of the figures.
	Spread time.Duration
}

// Reports reports whether the server tells its slowdown.
func (s *Server) Reports(now time.Time) bool {
	return s.slowdown.known() && now.Sub(s.slowdown.at) < reportLifetime
}

// Sent records an attempt and what was expected of it.
func (s *Server) Sent(now time.Time, r Request, outlook Outlook) {
	if len(s.own) == 0 {
		s.silentSince = now
	}
	if len(s.own) < maxOwn {
		s.own = append(s.own, attempt{request: r, sentAt: now, outlook: outlook})
	}
}

// Ended removes an attempt that was answered or given up, and returns what was expected of it.
// sentAt identifies the attempt.
func (s *Server) Ended(r Request, sentAt time.Time) (outlook Outlook) {
	for i := range s.own {
		if a := &s.own[i]; a.sentAt.Equal(sentAt) && a.request.shard == r.shard && a.request.kind == r.kind {
			outlook = a.outlook
			last := len(s.own) - 1
			s.own[i] = s.own[last]
			s.own[last] = attempt{}
			s.own = s.own[:last]
			return outlook
		}
	}
	return Outlook{}
}

// Report records the load that an answer told.
func (s *Server) Report(f *Fleet, now time.Time, report Report) {
	s.silentSince = now
	at := now.Add(-report.Age)
	if report.Slots > 0 {
		s.slots = report.Slots
		s.queue.report(&f.queue, at, float64(max(report.Queued-len(s.own), 0)))
	}
	if report.Slowdown > 0 {
		s.slowdown.report(&f.slowdown, at, min(max(float64(report.Slowdown)/usualSlowdown, minSlowdown), maxSlowdown))
	}
}

// Answered corrects the expected slowdown by the time that a request took: the figure may be
// old, and the time tells how long work took in fact. likely is the estimated work of the
// request, and outlook what was expected of it.
func (s *Server) Answered(f *Fleet, elapsed time.Duration, outlook Outlook, likely time.Duration) {
	if !s.slowdown.known() {
		return
	}
	if outlook.Completion > 0 {
		ratio := min(float64(elapsed)/float64(outlook.Completion), maxRatio)
		f.timeRatio += f.slowdown.weight() * (ratio - f.timeRatio)
	}
	wait := outlook.Wait
	pace := min(max(float64(max(elapsed-wait, elapsed/minRunShare))/float64(likely), minSlowdown), max(maxPace, s.slowdown.reported))
	difference := pace - s.slowdown.reported
	f.paceError += f.slowdown.weight() * (difference*difference - f.paceError)
	s.slowdown.measure(pace-s.slowdown.mean, paceNoise*f.paceError/max(f.slowdown.signal*f.slowdown.variance, minVariance))
}

// Work returns the work of a request that ended at now, and how certain that is. It took
// elapsed, of which it probably waited for wait. The slowdown in the middle of the run is taken
// to be as far from the reported one as that of half a run later.
func (s *Server) Work(f *Fleet, now time.Time, elapsed, wait time.Duration) (work time.Duration, weight float64) {
	run := max(elapsed-wait, elapsed/minRunShare)
	slowdown, _ := s.slowdown.expect(&f.slowdown, now.Add(run/2))
	return time.Duration(float64(run) / slowdown), float64(run) / float64(max(elapsed, 1))
}

// Outlook returns what to expect of a request that is sent now. e is its estimated cost.
func (s *Server) Outlook(f *Fleet, m *Model, now time.Time, e *Estimate) Outlook {
	slowdown, slowdownVariance := s.slowdown.expect(&f.slowdown, now)
	others, queueVariance := s.queue.expect(&f.queue, now)
	slots := float64(max(s.slots, 1))
	typical := float64(m.all.work)
	longest := time.Duration(0)
	// Requests of others that run have done a part of their work.
	backlog := typical * (others - (1-runningResidual)*min(others, slots))
	for i := range s.own {
		a := &s.own[i]
		estimate := m.Estimate(now, a.request)
		longest = max(longest, estimate.Work)
		done := max(time.Duration(float64(now.Sub(a.startsAt()))/slowdown), 0)
		backlog += float64(estimate.remaining(done))
	}
	count := others + float64(len(s.own))
	wait, waitSlope := 0.0, 0.0
	if count > 0 {
		waiting := count - slots + 1
		// The mean of the positive part of the uncertain number of requests to wait for.
		root := math.Sqrt(waiting*waiting + queueVariance)
		each := backlog / count / slots
		wait = each * (waiting + root) / 2
		waitSlope = each
	}
	completion := slowdown * (wait + float64(e.Work))
	relative := math.Sqrt(slowdownVariance) / slowdown
	spread := completion*relative + slowdown*waitSlope*math.Sqrt(queueVariance)
	if len(s.own) > 0 {
		// A server that is silent for longer than the work of its requests explains is slower
		// than it reported, or has failed.
		pace := float64(now.Sub(s.silentSince)) / float64(longest)
		completion = max(completion, pace*float64(e.Work)*(1+count/slots))
	}
	return Outlook{Completion: time.Duration(completion), Wait: time.Duration(slowdown * wait), Spread: time.Duration(spread)}
}

// FleetState is what the figures of all servers have in common, for state dumps.
type FleetState struct {
	// Slowdown is the mean of the reported slowdowns, in percent.
	Slowdown int `json:"slowdown"`
	// SlowdownFade and QueueFade are the times in which a report of the slowdown or the queue
	// loses most of its meaning.
	SlowdownFade time.Duration `json:"slowdown_fade"`
	QueueFade    time.Duration `json:"queue_fade"`
	// TimeRatio is the mean ratio of the times of answers to the expected ones.
	TimeRatio float64 `json:"time_ratio"`
}

// State returns what the figures of all servers have in common.
func (f *Fleet) State() FleetState {
	return FleetState{
		Slowdown: int(math.Round(f.slowdown.mean * usualSlowdown)), SlowdownFade: time.Duration(f.slowdown.tau),
		QueueFade: time.Duration(f.queue.tau), TimeRatio: math.Round(100*f.timeRatio) / 100,
	}
}

// ServerState is what is believed of a server, for state dumps.
type ServerState struct {
	// Reported is the last slowdown that the server told, in percent, Age the time since,
	// and Slowdown what is expected now.
	Reported int    `json:"reported"`
	Age      string `json:"age"`
	Slowdown int    `json:"slowdown"`
	// Others is the expected number of requests of other VMs there, and Own that of the
	// requests of this VM.
	Others float64 `json:"others"`
	Own    int     `json:"own"`
	Slots  int     `json:"slots"`
	// Completion is the expected time of a request of average cost, of which Wait passes
	// before it runs.
	Completion string `json:"completion"`
	Wait       string `json:"wait"`
}

// State returns what is believed of the server.
func (s *Server) State(f *Fleet, m *Model, now time.Time) ServerState {
	average := m.Estimate(now, Request{})
	outlook := s.Outlook(f, m, now, &average)
	slowdown, _ := s.slowdown.expect(&f.slowdown, now)
	others, _ := s.queue.expect(&f.queue, now)
	return ServerState{
		Reported: int(math.Round(s.slowdown.reported * usualSlowdown)), Age: now.Sub(s.slowdown.at).Round(time.Millisecond).String(),
		Slowdown: int(math.Round(slowdown * usualSlowdown)), Others: math.Round(100*others) / 100, Own: len(s.own), Slots: s.slots,
		Completion: text(float64(outlook.Completion)), Wait: text(float64(outlook.Wait)),
	}
}
