package host

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/apricotspoke/apricotspoke/coordination/serve"
	"github.com/apricotspoke/apricotspoke/protocol/explanation"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

const (
	explainPath = "/explain"
	// maxExplainText bounds a parameter in bytes. A path is the longest one.
	maxExplainText = 2048
)

// explainPage serves GET /explain. It answers one call at a time, as a call holds the lock of
// the scheduler several times as long as a request does.
type explainPage struct {
	explain func(serve.Question) (*explanation.Answer, error)
	mu      sync.Mutex
}

// ServeHTTP implements http.Handler.
func (p *explainPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := p.answer(r)
	if err == nil {
		writeExplanation(w, http.StatusOK, answer)
		return
	}
	e := fault.From(err)
	writeExplanation(w, e.Kind.Status(), explanation.Failure{Kind: e.Kind, Message: e.Message, Remedy: e.Kind.Remedy()})
}

func (p *explainPage) answer(r *http.Request) (*explanation.Answer, error) {
	if r.Method != http.MethodGet {
		return nil, fault.New(fault.InvalidRequest, "%s takes GET, not %s", explainPath, r.Method)
	}
	question, err := parseQuestion(r.URL.RawQuery)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.explain(question)
}

func writeExplanation(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the client has disconnected
}

// parseQuestion parses the parameters. It refuses callers' keys, as queries end up in logs and
// shell histories.
func parseQuestion(query string) (serve.Question, error) {
	var q serve.Question
	values, err := url.ParseQuery(query)
	if err != nil {
		return q, fault.Wrap(err, fault.InvalidRequest, "the query can't be parsed")
	}
	for name, given := range values {
		if len(given) != 1 || len(given[0]) > maxExplainText {
			return q, fault.New(fault.InvalidRequest, "parameter %q is given more than once or longer than %d bytes", name, maxExplainText)
		}
		if err := setParameter(&q, name, given[0]); err != nil {
			return q, err
		}
	}
	if q.Host == "" || q.Path == "" {
		return q, fault.New(fault.InvalidRequest, "%s and %s must be given", explanation.Host, explanation.Path)
	}
	return q, nil
}

func setParameter(q *serve.Question, name, value string) (err error) {
	switch name {
	case explanation.Host:
		q.Host = value
	case explanation.Path:
		q.Path = value
	case explanation.Organisation:
		q.Organisation = value
	case explanation.PromptTokens:
		q.PromptTokens, err = strconv.Atoi(value)
	case explanation.OutputTokens:
		q.OutputTokens, err = strconv.Atoi(value)
	case "api_key", "key":
		return fault.New(fault.InvalidRequest, "keys must not be sent in a query; name the organisation with %s", explanation.Organisation)
	default:
		return fault.New(fault.InvalidRequest, "parameter %q is unknown", name)
	}
	if err != nil {
		return fault.New(fault.InvalidRequest, "parameter %s must be a whole number", name)
	}
	return nil
}
