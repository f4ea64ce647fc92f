package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

// requestNamePrefix begins the ID under which the quarantine of a request is recorded.
const requestNamePrefix = "request "

// RequestKey returns the key of a request to a service. All its repeats have it, under
// whatever attempt ID, caller and entry they come: it is made of what an endpoint is given.
func RequestKey(service, method, target string, body []byte) uint64 {
	hash := sha256.New()
	for _, field := range []string{service, method, target} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // a hash write never fails
		_, _ = hash.Write([]byte(field))
	}
	_, _ = hash.Write(body)
	return binary.BigEndian.Uint64(hash.Sum(nil))
}

// requestName returns the ID under which the quarantine of a request is recorded.
func requestName(path string) string {
	name := requestNamePrefix + path
	return name[:min(len(name), maxIDBytes)]
}

// IsRequestName reports whether a recorded ID is that of a request, not of a part.
func IsRequestName(id string) bool { return strings.HasPrefix(id, requestNamePrefix) }
