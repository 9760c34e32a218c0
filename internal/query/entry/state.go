package entry

// State is what an entry is doing, for operators.
type State struct {
	// Active is the number of requests in execution.
	Active int `json:"active"`
}

// State returns what the entry is doing.
func (e *Entry) State() State {
	return State{Active: e.Active()}
}
