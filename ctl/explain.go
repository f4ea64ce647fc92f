package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/explanation"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/jessevdk/go-flags"
)

// maxExplanationBytes bounds the answer of an entry. MaxEndpoints endpoints take less, even
// with names of 256 bytes.
const maxExplanationBytes = 1 << 20

type explainFlags struct {
	Entry        string `long:"entry" required:"yes" value-name:"HOST:PORT" description:"Address of the entry's metrics"`
	Host         string `long:"host" required:"yes" description:"Host of the request"`
	Path         string `long:"path" required:"yes" description:"Path of the request"`
	PromptTokens int    `long:"prompt-tokens" required:"yes" description:"Tokens of the prompt; 0 for a service without an engine"`
	OutputTokens int    `long:"output-tokens" description:"Tokens of the answer; the mean of the service if not set"`
	Organisation string `long:"organisation" description:"Organisation whose request it is"`
	command
}

func (a *app) registerExplain(parent *flags.Command) {
	data := &explainFlags{}
	data.command = func() error { return a.explain(data) }
	addCommand(parent, "explain", "Show where an entry would place a request now, and why, without sending it", data)
}

func (a *app) explain(q *explainFlags) error {
	answer, err := fetchExplanation(q)
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	return a.printExplanation(answer)
}

func (q *explainFlags) url() string {
	query := url.Values{}
	query.Set(explanation.Host, q.Host)
	query.Set(explanation.Path, q.Path)
	query.Set(explanation.PromptTokens, strconv.Itoa(q.PromptTokens))
	if q.OutputTokens != 0 {
		query.Set(explanation.OutputTokens, strconv.Itoa(q.OutputTokens))
	}
	if q.Organisation != "" {
		query.Set(explanation.Organisation, q.Organisation)
	}
	return (&url.URL{Scheme: "http", Host: q.Entry, Path: "/explain", RawQuery: query.Encode()}).String()
}

// fetchExplanation asks an entry directly, without proxies.
func fetchExplanation(q *explainFlags) (*explanation.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, q.url(), nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidRequest, "entry address %q is invalid", q.Entry)
	}
	client := &http.Client{
		Transport:     &http.Transport{Proxy: nil, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotCurrent, "entry %s does not answer; check --entry, the address of its metrics", q.Entry)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.NotCurrent, "the answer of entry %s ended early", q.Entry)
	}
	return parseExplanation(q.Entry, response, body)
}

// parseExplanation returns the explanation, or the failure that the entry answered with.
func parseExplanation(entry string, response *http.Response, body []byte) (*explanation.Answer, error) {
	var err error
	switch {
	case len(body) > maxExplanationBytes:
		err = errors.New("it is too long")
	case response.StatusCode == http.StatusOK:
		answer := &explanation.Answer{}
		if err = json.Unmarshal(body, answer); err == nil {
			return answer, nil
		}
	default:
		var failure explanation.Failure
		if err = json.Unmarshal(body, &failure); err == nil && failure.Kind.Known() {
			return nil, fault.New(failure.Kind, "%s", failure.Message)
		}
	}
	return nil, fault.Wrap(err, fault.InvalidRequest, "%s returned no explanation (status %d); set --entry to the metrics address of an entry of this version", entry, response.StatusCode)
}

func (a *app) printExplanation(x *explanation.Answer) error {
	t := newTable(a.out, "catalogue", fmt.Sprint("version ", x.CatalogueVersion))
	t.row("state", stateLine(x))
	t.row("route", x.Route)
	t.row("service", strings.Join(append([]string{x.Service}, x.OtherServices...), ", or "))
	t.row("priority", fmt.Sprintf("%d of the organisation, %d of the route", x.OrganisationPriority, x.RoutePriority))
	planRows(t, x)
	if x.Queue != nil {
		t.row("queue", fmt.Sprintf("place %d, %d waiting, waits: %s", x.Queue.Place, x.Queue.Waiting, yesNo(x.Queue.Waits)))
	}
	if r := x.Refusal; r != nil {
		t.row("refused", fmt.Sprintf("%s after %s unless a plan is found before, Retry-After %s: %s", r.Kind, msText(r.AfterMs), msText(r.RetryAfterMs), r.Message))
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(a.out)
	return a.printExplainedEndpoints(x)
}

func stateLine(x *explanation.Answer) string {
	age := "never confirmed"
	if x.StateAgeMs != nil {
		age = "confirmed " + msText(*x.StateAgeMs) + " ago"
	}
	if x.StateCurrent {
		return "current, " + age
	}
	return "not current, " + age
}

func planRows(t *table, x *explanation.Answer) {
	p := x.Plan
	if p == nil {
		t.row("plan", strings.TrimSpace("none "+x.NoPlan))
		return
	}
	t.row("main endpoint", p.Main)
	for _, h := range p.Helpers {
		t.row("helper", fmt.Sprintf("%s, reserve %d tokens", h.Endpoint, h.ReserveTokens))
	}
	t.row("first event", fmt.Sprintf("predicted after %.0f ms", p.PredictedFirstMs))
	t.row("score", fmt.Sprintf("%.3f, loss %.3f", p.Score, p.Loss))
	if p.RunnerUp != "" {
		t.row("runner-up", fmt.Sprintf("%s, score %.3f", p.RunnerUp, p.RunnerUpScore))
	}
	if p.ReportAgeMs != nil {
		t.row("load report", msText(*p.ReportAgeMs)+" old")
	}
}

func (a *app) printExplainedEndpoints(x *explanation.Answer) error {
	t := newTable(a.out, "ENDPOINT", "DATA CENTRE", "ROLE", "LEFT OUT", "FOR")
	for _, e := range x.Endpoints {
		holds := ""
		if e.ForMs > 0 {
			holds = msText(e.ForMs)
		}
		t.row(e.Endpoint, e.DataCentre, e.Role, e.Reason, holds)
	}
	if err := t.flush(); err != nil {
		return err
	}
	if x.EndpointsOmitted > 0 {
		fmt.Fprintf(a.out, "%d more endpoints are not shown\n", x.EndpointsOmitted)
	}
	return nil
}

func msText(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
