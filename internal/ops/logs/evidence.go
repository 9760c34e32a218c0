package logs

import "slices"

const (
	// fingerprintAttr is the attribute that holds the fingerprint of a request: repeats of a
	// request have the same one.
	fingerprintAttr = "request"
	// maxEvidence is the number of lines about the repeats of a request that are shown.
	maxEvidence = 20
)

// refusedEvent is the event of a request that is refused because its repeats ended backend
// servers.
const refusedEvent = "request_quarantined"

// evidenceEvents are the events that decided about a request by what its repeats did.
var evidenceEvents = []string{"server_ended", "request_suspected", "request_condemned", "request_cleared"}

// Fingerprint returns the fingerprint of a request that was refused because of its repeats, or
// "" if lines name none.
func Fingerprint(lines []Line) string {
	for _, line := range lines {
		if line.Event != refusedEvent {
			continue
		}
		if f := line.attr(fingerprintAttr); f != "" {
			return f
		}
	}
	return ""
}

// ReadEvidence returns the first events in a log file that decided about the request with a
// fingerprint by what its repeats did.
func ReadEvidence(path, fingerprint string) ([]Line, error) {
	var lines []Line
	err := readFile(path, []string{fingerprint}, func(line Line) {
		if len(lines) < maxEvidence && slices.Contains(evidenceEvents, line.Event) && (line.Subject == fingerprint || line.attr(fingerprintAttr) == fingerprint) {
			lines = append(lines, line)
		}
	})
	return lines, err
}
