package ctrl

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/core/guard"
)

const (
	// maxMessage is the largest size of a message in bytes. It is that of batches between VMs,
	// which carry the same records of actions.
	maxMessage = 16 << 20
	// maxValues bounds the memory of the values that a message is decoded into, besides its
	// text.
	maxValues = 16 << 20
	// smallValues is the memory of the values up to which a message of at most budget.SmallSize
	// is never refused for lack of memory, as heartbeats mustn't be.
	smallValues = 128 << 10
)

var (
	errTooLarge = errors.New("ctrl: message too large")
	errCutShort = errors.New("ctrl: message cut short")
	// present replaces a result, so that the JSON-RPC library sees that there is one.
	present = json.RawMessage("true")
)

// envelope is a message whose params and result are not decoded.
type envelope struct {
	JSONRPC json.RawMessage `json:"jsonrpc,omitempty"`
	Method  json.RawMessage `json:"method,omitempty"`
	ID      json.RawMessage `json:"id,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
	Meta    json.RawMessage `json:"meta,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

// stream reads and writes messages, each with its length in front, within the memory that its
// holder may have. The JSON-RPC library gets messages without params and result, because it would
// decode and encode them several times; restore puts them back.
type stream struct {
	conn   *meteredConn
	reader *bufio.Reader
	holder *budget.Holder
	// refused is called with the cause if a message is refused, after which the connection is
	// closed.
	refused func(guard.Cause)

	// payload is the params or result of the message that was read last, or nil. large reports
	// that it takes more than budget.SmallSize. Only the reader uses them.
	payload json.RawMessage
	large   bool

	writing sync.Mutex
}

// newStream returns a stream on a connection. holder and refused may be nil.
func newStream(c *meteredConn, holder *budget.Holder, refused func(guard.Cause)) *stream {
	return &stream{conn: c, reader: bufio.NewReader(c), holder: holder, refused: refused}
}

// ReadObject implements jsonrpc2.ObjectStream. It gives back the memory of the message before.
func (s *stream) ReadObject(v any) error {
	s.payload, s.large = nil, false
	s.holder.Set(budget.Request, 0)
	data, err := s.read()
	if err == nil {
		err = s.decode(data, v)
	}
	if err != nil {
		// Nothing more is read, and the connection may have been closed before.
		s.holder.Set(budget.Request, 0)
	}
	return err
}

// read reads a message and reserves the memory for decoding it.
func (s *stream) read() ([]byte, error) {
	length, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, err //nolint:wrapcheck // the library compares with io.EOF
	}
	if length > maxMessage {
		return nil, s.refuse(guard.TooLarge, errTooLarge)
	}
	data, err := budget.ReadUpTo(s.reader, int(length), s.reserve)
	switch {
	case errors.Is(err, budget.ErrNoMemory):
		return nil, s.refuse(guard.NoMemory, err)
	case err != nil:
		return nil, errors.Wrap(err, "ctrl: read")
	case uint64(len(data)) < length:
		return nil, s.refuse(guard.Malformed, errCutShort)
	}
	values := budget.SizeOfValues(data)
	if values > maxValues {
		return nil, s.refuse(guard.TooLarge, errTooLarge)
	}
	size := 2*len(data) + values
	s.large = size > budget.SmallSize
	if (len(data) > budget.SmallSize || values > smallValues) && !s.reserve(size) {
		return nil, s.refuse(guard.NoMemory, budget.ErrNoMemory)
	}
	return data, nil
}

func (s *stream) reserve(size int) bool {
	return s.holder.Reserve(budget.Request, size, time.Now().Add(budget.MaxWait))
}

func (s *stream) refuse(cause guard.Cause, err error) error {
	if s.refused != nil {
		s.refused(cause)
	}
	return err
}

// decode decodes a message into v, a message of the library, without its payload.
func (s *stream) decode(data []byte, v any) error {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return s.refuse(guard.Malformed, errors.Wrap(err, "ctrl: decode"))
	}
	s.payload, e.Params = e.Params, nil
	if e.Method == nil && e.Result != nil {
		s.payload, e.Result = e.Result, present
	}
	head, err := json.Marshal(&e)
	if err != nil {
		return errors.Wrap(err, "ctrl: decode")
	}
	if err := json.Unmarshal(head, v); err != nil {
		return s.refuse(guard.Malformed, errors.Wrap(err, "ctrl: decode"))
	}
	return nil
}

// restore puts the payload into the message that was read last. It is called by the reader before
// the message is handled.
func (s *stream) restore(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if s.payload == nil {
		return
	}
	payload := s.payload
	switch {
	case response != nil && response.Error == nil:
		response.Result = &payload
	case response == nil && request != nil:
		request.Params = &payload
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "ctrl: encode")
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	var prefix [binary.MaxVarintLen64]byte
	head := prefix[:binary.PutUvarint(prefix[:], uint64(len(data)))]
	if len(data) <= budget.SmallSize {
		head, data = append(head, data...), nil
	}
	if _, err := s.conn.Write(head); err != nil || len(data) == 0 {
		return err
	}
	_, err = s.conn.Write(data)
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	return s.conn.Close()
}
