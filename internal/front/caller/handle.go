package caller

import (
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/samphirestair/samphirestair/internal/query/entry"
)

func (s *Server) search(c fiber.Ctx) error {
	id, request, rejected := s.decodeRequest(c)
	if rejected == nil {
		request.Limit, rejected = decodeLimit(request.Body)
	}
	if rejected != nil {
		return replyRejected(c, id, rejected)
	}
	return reply(c, id, s.deps.Runner.Search(c.Context(), request))
}

func (s *Server) lookup(c fiber.Ctx) error {
	id, request, rejected := s.decodeRequest(c)
	if rejected == nil {
		request.Key, rejected = decodeKey(c.Params("key"))
	}
	if rejected != nil {
		return replyRejected(c, id, rejected)
	}
	return reply(c, id, s.deps.Runner.Lookup(c.Context(), request))
}

func (s *Server) action(c fiber.Ctx) error {
	id, request, rejected := s.decodeRequest(c)
	if rejected == nil {
		request.Key, rejected = decodeIdempotencyKey(c.Get(headerIdempotencyKey))
	}
	if rejected != nil {
		return replyRejected(c, id, rejected)
	}
	action, err := url.PathUnescape(c.Params("action"))
	if err != nil {
		return replyRejected(c, id, newRejection(http.StatusBadRequest, codeBadRequest, "the action name is malformed"))
	}
	request.Action = action
	request.Route = c.Get(headerRouteKey)
	return reply(c, id, s.deps.Runner.Action(c.Context(), request))
}

// decodeRequest decodes what all requests have in common and returns the request id,
// which is generated if the caller sent none. The answer carries the id in its header.
func (s *Server) decodeRequest(c fiber.Ctx) (string, entry.Request, *rejection) {
	get := func(name string) string { return c.Get(name) }
	id, rejected := decodeRequestID(c.Get(headerRequest))
	if id == "" {
		id = s.deps.NewID()
	}
	c.Set(headerRequest, id)
	if rejected != nil {
		return id, entry.Request{}, rejected
	}
	request, rejected := decodeCommon(s.deps.Now(), get, c.Params("service"))
	request.ID, request.Body = id, c.Body()
	return id, request, rejected
}

// handleError answers requests that match no route or that the HTTP library rejected,
// and internal errors.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	rejected := newRejection(http.StatusInternalServerError, codeInternal, "internal error")
	var known *fiber.Error
	if errors.As(err, &known) {
		rejected = newRejection(known.Code, codeOfStatus(known.Code), known.Message)
	}
	return send(c, rejected.status, struct {
		Error failure `json:"error"`
	}{rejected.failure})
}

// codeOfStatus returns the error code for a status that the HTTP library chose.
func codeOfStatus(status int) string {
	switch {
	case status == http.StatusRequestEntityTooLarge:
		return codeBodyTooLarge
	case status == http.StatusNotFound:
		return codeNotFound
	case status < http.StatusInternalServerError:
		return codeBadRequest
	}
	return codeInternal
}
