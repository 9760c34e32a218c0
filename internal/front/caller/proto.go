package caller

// Names of the headers of requests and answers.
const (
	headerDeadline       = "X-Deadline-Ms"
	headerDeadlineUnix   = "X-Deadline-Unix-Ms"
	headerClass          = "X-Caller-Class"
	headerRequest        = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerRouteKey       = "Route-Key"
	headerMoveOn         = "X-Move-On"
)

// Error codes in answers.
const (
	codeBadBody        = "bad_body"
	codeBadDeadline    = "bad_deadline"
	codeBadKey         = "bad_key"
	codeBadRequestID   = "bad_request_id"
	codeBodyTooLarge   = "body_too_large"
	codeDeadlinePassed = "deadline_passed"
	codeInternal       = "internal"
	codeNotFound       = "not_found"
	codeNotRun         = "not_run"
	codeOutcomeUnknown = "outcome_unknown"
	codeBadRequest     = "bad_request"
	codeUnknownAction  = "unknown_action"
	codeUnknownService = "unknown_service"
)

// reasonNoMemory is the reason of a request that is refused because there is no memory for its
// body.
const reasonNoMemory = "no memory for the body"

// failure is the field "error" of an answer.
type failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// rejection is the failure of a faulty request, with the HTTP status of its answer.
type rejection struct {
	status int
	failure
}

func newRejection(status int, code, message string) *rejection {
	return &rejection{status: status, failure: failure{Code: code, Message: message}}
}
