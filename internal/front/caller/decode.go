package caller

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fastjson"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

const (
	// defaultLimit is the number of hits of a search that states no limit, and maxLimit
	// the largest limit.
	defaultLimit = 10
	maxLimit     = 1000
	// maxDeadline is the longest time to the deadline of a request.
	maxDeadline = 10 * time.Minute
	// maxNameLength is the largest length of request ids and lookup keys in bytes.
	maxNameLength = 256
)

// headerGetter returns the value of the named request header, or "".
type headerGetter func(name string) string

// decodeCommon decodes the caller class, the service and the deadline, which all
// requests have in common.
func decodeCommon(now time.Time, get headerGetter, service string) (entry.Request, *rejection) {
	request := entry.Request{Class: get(headerClass)}
	name, err := url.PathUnescape(service)
	if err != nil {
		return request, newRejection(http.StatusBadRequest, codeBadRequest, "the service name is malformed")
	}
	request.Service = ident.ServiceID(name)
	deadline, rejected := decodeDeadline(now, get)
	request.Deadline = deadline
	return request, rejected
}

// decodeDeadline returns the deadline, which a request states in milliseconds from now
// or as Unix time in milliseconds, or the zero time if it states none.
func decodeDeadline(now time.Time, get headerGetter) (time.Time, *rejection) {
	relative, absolute := get(headerDeadline), get(headerDeadlineUnix)
	var deadline time.Time
	switch {
	case relative == "" && absolute == "":
		return time.Time{}, nil
	case relative != "" && absolute != "":
		return time.Time{}, newRejection(http.StatusBadRequest, codeBadDeadline, "two deadlines are given")
	case relative != "":
		ms, err := strconv.ParseInt(relative, 10, 32)
		if err != nil {
			return time.Time{}, newRejection(http.StatusBadRequest, codeBadDeadline, headerDeadline+" is not a whole number")
		}
		deadline = now.Add(time.Duration(ms) * time.Millisecond)
	default:
		ms, err := strconv.ParseInt(absolute, 10, 64)
		if err != nil {
			return time.Time{}, newRejection(http.StatusBadRequest, codeBadDeadline, headerDeadlineUnix+" is not a whole number")
		}
		deadline = now.Add(time.UnixMilli(ms).Sub(now))
	}
	return checkDeadline(now, deadline)
}

// checkDeadline rejects a deadline that has passed or is further away than maxDeadline.
func checkDeadline(now, deadline time.Time) (time.Time, *rejection) {
	if !deadline.After(now) {
		return time.Time{}, newRejection(http.StatusRequestTimeout, codeDeadlinePassed, "the deadline has passed")
	}
	if deadline.Sub(now) > maxDeadline {
		return time.Time{}, newRejection(http.StatusBadRequest, codeBadDeadline, "the deadline is more than 10 minutes away")
	}
	return deadline, nil
}

// decodeLimit returns the limit that the body of a search states, or defaultLimit. It
// rejects a body that is not a JSON object.
func decodeLimit(body []byte) (int, *rejection) {
	// ParseBytes alone accepts invalid numbers, such as a single dot.
	if fastjson.ValidateBytes(body) != nil {
		return 0, newRejection(http.StatusBadRequest, codeBadBody, "the body is not a JSON object")
	}
	object, err := fastjson.ParseBytes(body)
	if err != nil || object.Type() != fastjson.TypeObject {
		return 0, newRejection(http.StatusBadRequest, codeBadBody, "the body is not a JSON object")
	}
	value := object.Get("limit")
	if value == nil {
		return defaultLimit, nil
	}
	limit, err := value.Int()
	if err != nil || limit < 0 || limit > maxLimit {
		return 0, newRejection(http.StatusBadRequest, codeBadBody, "limit is not a whole number from 0 to 1000")
	}
	return limit, nil
}

// decodeKey returns the unescaped key of a lookup.
func decodeKey(escaped string) (string, *rejection) {
	key, err := url.PathUnescape(escaped)
	if err != nil || key == "" || len(key) > maxNameLength {
		return "", newRejection(http.StatusBadRequest, codeBadKey, "the key is malformed, empty or longer than 256 bytes")
	}
	return key, nil
}

// decodeIdempotencyKey returns the idempotency key of an action, a UUID of version 7, in
// canonical form.
func decodeIdempotencyKey(text string) (string, *rejection) {
	if text == "" {
		return "", newRejection(http.StatusBadRequest, codeBadKey, headerIdempotencyKey+" is missing")
	}
	key, err := uuid.Parse(text)
	if err != nil || key.Version() != 7 {
		return "", newRejection(http.StatusBadRequest, codeBadKey, headerIdempotencyKey+" is not a UUID of version 7")
	}
	return key.String(), nil
}

// decodeRequestID returns the request id that the caller sent, or "".
func decodeRequestID(text string) (string, *rejection) {
	if len(text) > maxNameLength {
		return "", newRejection(http.StatusBadRequest, codeBadRequestID, headerRequest+" is longer than 256 bytes")
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return "", newRejection(http.StatusBadRequest, codeBadRequestID, headerRequest+" is not printable ASCII")
		}
	}
	return text, nil
}
