package server

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// ReadDocuments returns the backend servers of all service documents in a
// directory, which are the files "*.ini". It fails if there is no server.
func ReadDocuments(dir string) ([]svcdoc.Server, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, errors.Wrap(err, "server: documents")
	}
	var specs []svcdoc.Server
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "server: documents")
		}
		document, err := svcdoc.Parse(data)
		if err != nil {
			return nil, errors.Wrapf(err, "server: %s", name)
		}
		specs = append(specs, document.Servers...)
	}
	if len(specs) == 0 {
		return nil, errors.Newf("server: no backend servers in %s", dir)
	}
	return specs, nil
}
