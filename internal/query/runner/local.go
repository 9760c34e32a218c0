package runner

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/owner/pool"
)

// LocalSender sends attempts that other VMs order. A backend server that this VM knows is reached
// by what this VM knows of it, as for its own requests, so that both share its connections and
// what is observed of its link. One that this VM knows to get no more requests is not used: the view
// of the other VM may be older.
type LocalSender struct {
	views  ViewSource
	sender Sender
}

// NewLocalSender returns a LocalSender that sends through sender.
func NewLocalSender(views ViewSource, sender Sender) *LocalSender {
	return &LocalSender{views: views, sender: sender}
}

// Send starts one attempt, like pool.Pool.Send.
func (s *LocalSender) Send(target pool.Target, message *pool.Message, deadline time.Time, wait bool, done func(pool.Result)) *pool.Call {
	view := s.views.View()
	if replica := view.Replica(target.ID); replica != nil && replica.Born == target.Born {
		target = Target(view, replica)
	} else if view.IsWithdrawn(target.ID, target.Born) {
		return pool.Reject("the VM that was to send it knows that the server gets no more requests", done)
	}
	return s.sender.Send(target, message, deadline, wait, done)
}
