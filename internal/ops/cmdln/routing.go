package cmdln

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/conf/lint"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
)

// isRouting reports whether data is a routing configuration: unlike the other files, it is JSON.
func isRouting(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(data), []byte("{"))
}

// checkRouting checks a routing configuration, and prints what it changes if against names the one
// in force: a file, or the admin address of a VM.
func (c *CLI) checkRouting(ctx context.Context, path string, data []byte, against string) error {
	config, err := c.deps.Routing(data)
	if err != nil {
		return fail(ExitRefused, "%s%s: %v", path, placeOf(data, err), err)
	}
	var current *routes.Config
	if against != "" {
		if current, err = c.routingInForce(ctx, against); err != nil {
			return err
		}
	}
	faults := 0
	for _, finding := range lint.Check(config, current) {
		c.printf("%s\n", finding)
		if finding.Level == lint.Error {
			faults++
		}
	}
	c.printf("%s: version %d, %d routes, %d services, %d tenants\n", path, config.Version, len(config.Routes), len(config.Services), len(config.Tenants))
	if current != nil {
		c.printDifferences(against, lint.Compare(current, config))
	}
	if faults > 0 {
		return fail(ExitRefused, "%s has %d error(s)", path, faults)
	}
	return nil
}

func (c *CLI) printDifferences(against string, changes []lint.Change) {
	c.printf("%d difference(s) from the configuration of %s\n", len(changes), against)
	for _, change := range changes {
		c.printf("  %s\n", change)
	}
}

// routingInForce reads the configuration in force from a file, or from a VM if there is no such
// file.
func (c *CLI) routingInForce(ctx context.Context, against string) (*routes.Config, error) {
	data, err := os.ReadFile(against)
	if err == nil {
		config, err := c.deps.Routing(data)
		if err != nil {
			return nil, fail(ExitRefused, "%s%s: %v", against, placeOf(data, err), err)
		}
		return config, nil
	}
	if isName(against) {
		return nil, fail(ExitUsage, "cli: --against: %v", err)
	}
	body, err := c.deps.Fetch.Get(ctx, against, fetch.PathConfig)
	if err != nil {
		return nil, err
	}
	var config *routes.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return nil, fail(ExitUnavailable, "cli: %s: %v", against, err)
	}
	if config == nil {
		return nil, fail(ExitUnavailable, "cli: %s knows no configuration yet", against)
	}
	return config, nil
}

// placeOf returns the line and column, as ":3:14", of an error in JSON, or nothing if they are not
// known.
func placeOf(data []byte, err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mismatch):
		offset = mismatch.Offset
	default:
		return ""
	}
	read := data[:min(int(offset), len(data))]
	line := bytes.Count(read, []byte("\n")) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n') - 1
	return fmt.Sprintf(":%d:%d", line, column)
}
