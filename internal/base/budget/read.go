package budget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrNoMemory is returned if there is no memory for a body.
var ErrNoMemory = errors.New("budget: no memory for the body")

// ReadUpTo reads until the end of r or until it has most bytes. The buffer grows with what has
// arrived, and reserve reserves its next size in total before each growth beyond SmallSize. It
// fails with ErrNoMemory if reserve returns false.
func ReadUpTo(r io.Reader, most int, reserve func(size int) bool) ([]byte, error) {
	body := make([]byte, 0, min(most, SmallSize))
	for len(body) < most {
		if len(body) == cap(body) {
			size := min(2*len(body), most)
			if size > SmallSize && !reserve(size) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
