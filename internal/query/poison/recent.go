package poison

import "time"

// recentSize is the number of requests in one generation of recentAnswers.
const recentSize = 1024

// recentAnswers remembers when servers last answered requests. It holds at least the last
// recentSize different ones, in two generations, and is not safe for concurrent use.
type recentAnswers struct {
	// start is the time of the first answer. Others are kept as times since then, which take
	// less memory.
	start             time.Time
	current, previous map[Fingerprint]time.Duration
}

// add records an answer.
func (r *recentAnswers) add(now time.Time, f Fingerprint) {
	if r.start.IsZero() {
		r.start = now
	}
	if r.current == nil || len(r.current) >= recentSize {
		r.previous, r.current = r.current, make(map[Fingerprint]time.Duration)
	}
	r.current[f] = now.Sub(r.start)
}

// last returns the time of the last answer, or zero if there is none or it was forgotten.
func (r *recentAnswers) last(f Fingerprint) time.Time {
	for _, generation := range []map[Fingerprint]time.Duration{r.current, r.previous} {
		if since, known := generation[f]; known {
			return r.start.Add(since)
		}
	}
	return time.Time{}
}
