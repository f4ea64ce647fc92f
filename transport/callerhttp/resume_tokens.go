package callerhttp

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// ResumeTokens signs and verifies resume tokens. A token names the gate at which an
// attempt runs and the organisation that it belongs to, so that any entry can resume its
// stream. Entries share only the secret.
type ResumeTokens struct{ secret []byte }

// NewResumeTokens returns a signer that uses the fleet's secret.
func NewResumeTokens(secret string) *ResumeTokens { return &ResumeTokens{secret: []byte(secret)} }

// tokenContent is the signed part of a token.
type tokenContent struct {
	Address      string `json:"a"`
	Instance     string `json:"i"`
	Attempt      string `json:"t"`
	Organisation string `json:"o"`
	Endpoint     string `json:"e"`
}

var tokenEncoding = base64.RawURLEncoding

// Sign returns the token of an attempt: the content and its HMAC-SHA256, both in
// base64url and separated by a dot.
func (t *ResumeTokens) Sign(o relay.Origin) string {
	content, _ := json.Marshal(tokenContent{o.GateAddress, o.GateInstance, o.Attempt, o.Organisation, o.Endpoint})
	body := tokenEncoding.EncodeToString(content)
	return body + "." + tokenEncoding.EncodeToString(t.mac(body))
}

func (t *ResumeTokens) mac(body string) []byte {
	h := hmac.New(sha256.New, t.secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}

// Verify checks a token and returns the attempt that it names. The error is
// InvalidRequest for a token that was not signed with the secret, and Forbidden for one
// of another organisation.
func (t *ResumeTokens) Verify(token, organisation string) (relay.Origin, error) {
	body, signature, _ := strings.Cut(token, ".")
	sum, err := tokenEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(sum, t.mac(body)) {
		return relay.Origin{}, fault.New(fault.InvalidRequest, "the resume token is not valid")
	}
	var c tokenContent
	raw, err := tokenEncoding.DecodeString(body)
	if err != nil || json.Unmarshal(raw, &c) != nil {
		return relay.Origin{}, fault.New(fault.InvalidRequest, "the resume token is not valid")
	}
	if c.Organisation != organisation {
		return relay.Origin{}, fault.New(fault.Forbidden, "the resume token belongs to another organisation")
	}
	return relay.Origin{Endpoint: c.Endpoint, GateAddress: c.Address, GateInstance: c.Instance,
		Attempt: c.Attempt, Organisation: c.Organisation}, nil
}
