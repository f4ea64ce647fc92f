package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/explanation"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// maxExplainedTokens bounds the tokens of a Question. Longer prompts are simulated pass by
// pass while other choices wait.
const maxExplainedTokens = 10_000_000

// Question describes a request that isn't sent.
type Question struct {
	Host, Path   string
	PromptTokens int
	OutputTokens int    // expected; 0 for the mean of the service
	Organisation string // empty for a request without a key
}

// Explain tells where a request would be placed now, and why. It has no side effects. What
// depends on the prompt itself, such as quarantined parts, is left out.
func (s *Server) Explain(q Question) (*explanation.Answer, error) {
	state := s.stateCache.State()
	if state.Catalogue == nil {
		return nil, fault.New(fault.NotCurrent, "this entry has not received a catalogue yet").WithRetryAfter(staleRetryAfter)
	}
	r, err := s.explainedRun(state.Catalogue, q)
	if err != nil {
		return nil, err
	}
	x := s.scheduler.Explain(s.directory.Endpoints(r.service.Name), r.placementRequest(state))
	a := &explanation.Answer{
		CatalogueVersion:     state.Version(),
		StateCurrent:         s.StateIsCurrent(),
		Route:                r.route.Name,
		Service:              r.service.Name,
		OtherServices:        otherServices(r.route, r.service.Name),
		Organisation:         r.organisation,
		OrganisationPriority: r.fullPriority.Organisation,
		RoutePriority:        r.fullPriority.Route,
		Plan:                 explainedPlan(x),
		NoPlan:               string(x.NoPlan),
		Queue:                r.previewQueue(state.Catalogue, x.Plan != nil),
	}
	if age, known := s.stateCache.Age(); known {
		a.StateAgeMs = milliseconds(age)
	}
	a.Refusal = r.previewRefusal(x, a.StateCurrent)
	r.addEndpoints(a, x, state)
	return a, nil
}

// explainedRun returns the run of a request that arrives now. It is never served.
func (s *Server) explainedRun(c *catalogue.Catalogue, q Question) (*run, error) {
	route := c.Match(hostOnly(q.Host), q.Path)
	if route == nil {
		return nil, fault.New(fault.NotFound, "no route matches %s%s", q.Host, q.Path)
	}
	now := time.Now()
	r := &run{
		server: s, route: route, service: c.Services[mainService(route)], catalogueVersion: c.Version,
		deadline: now.Add(route.Timeout), admittedAt: now,
		request: &Request{
			Host: q.Host, Path: q.Path, Arrived: now, TimeLimit: route.Timeout,
			PromptTokens: q.PromptTokens, OutputTokensHint: q.OutputTokens,
		},
	}
	if err := checkTokens(q, r.service); err != nil {
		return nil, err
	}
	organisation, err := r.namedOrganisation(c, q.Organisation)
	if err != nil {
		return nil, err
	}
	r.setPriorities(c, catalogue.PriorityOf(organisation, route))
	return r, nil
}

func checkTokens(q Question, service *catalogue.Service) error {
	least := 0
	if service.Engine != nil {
		least = 1
	}
	if q.PromptTokens < least || q.PromptTokens > maxExplainedTokens {
		return fault.New(fault.InvalidRequest, "the prompt tokens must be from %d to %d for service %s", least, maxExplainedTokens, service.Name)
	}
	if q.OutputTokens < 0 || q.OutputTokens > maxExplainedTokens {
		return fault.New(fault.InvalidRequest, "the output tokens must be from 0 to %d", maxExplainedTokens)
	}
	return nil
}

// namedOrganisation finds the organisation by its name, as authenticate does by its key.
func (r *run) namedOrganisation(c *catalogue.Catalogue, name string) (*catalogue.Organisation, error) {
	i := slices.IndexFunc(c.Organisations, func(o catalogue.Organisation) bool { return o.Name == name })
	switch {
	case i < 0 && name != "":
		return nil, fault.New(fault.NotFound, "the catalogue has no organisation %q", name)
	case r.route.Public || !c.KeysRequired():
		return nil, nil
	case i < 0:
		return nil, fault.New(fault.InvalidRequest, "route %s requires a key; name the organisation", r.route.Name)
	}
	r.organisation = name
	return &c.Organisations[i], nil
}

// mainService returns the service with the largest share of a route. Which one serves a
// request depends on its ID, which isn't known.
func mainService(route *catalogue.Route) string {
	main := route.Split[0]
	for _, share := range route.Split {
		if share.Weight > main.Weight {
			main = share
		}
	}
	return main.Service
}

func otherServices(route *catalogue.Route, service string) []string {
	var others []string
	for _, share := range route.Split {
		if share.Service != service {
			others = append(others, share.Service)
		}
	}
	return others
}

func explainedPlan(x *placement.Explanation) *explanation.Plan {
	p := x.Plan
	if p == nil {
		return nil
	}
	explained := &explanation.Plan{
		Main: p.Endpoints[0].ID, Helpers: []explanation.Helper{}, AboutEqual: endpointIDs(x.AboutEqual),
		PredictedFirstMs: p.PredictedFirstMs, Score: withoutSign(p.Score), Loss: p.Loss, RunnerUp: p.RunnerUp, RunnerUpScore: withoutSign(p.RunnerUpScore),
	}
	for i, e := range p.Endpoints[1:] {
		h := explanation.Helper{Endpoint: e.ID}
		if p.HeldTokens != nil {
			h.ReserveTokens = p.HeldTokens[i+1]
		}
		explained.Helpers = append(explained.Helpers, h)
	}
	if x.Reported {
		explained.ReportAgeMs = milliseconds(p.ReportAge)
	}
	return explained
}

// withoutSign returns 0 for the negative zero that is the score of an idle plain endpoint.
func withoutSign(score float64) float64 {
	if score == 0 {
		return 0
	}
	return score
}

func milliseconds(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}

// addEndpoints adds the endpoints, those with a role first.
func (r *run) addEndpoints(a *explanation.Answer, x *placement.Explanation, state *catalogue.State) {
	a.Endpoints = []explanation.Endpoint{}
	for _, v := range x.EndpointReasons {
		reason := v.Reason
		if reason == placement.Excluded {
			reason = r.exclusion(v.Endpoint, state)
		}
		a.Endpoints = append(a.Endpoints, explanation.Endpoint{
			Endpoint: v.Endpoint.ID, DataCentre: v.Endpoint.DataCentre,
			Role: roleOf(v.Endpoint.ID, a.Plan), Reason: string(reason), ForMs: v.For.Milliseconds(),
		})
	}
	slices.SortStableFunc(a.Endpoints, func(x, y explanation.Endpoint) int {
		return cmp.Compare(slices.Index(roleOrder, x.Role), slices.Index(roleOrder, y.Role))
	})
	if omitted := len(a.Endpoints) - explanation.MaxEndpoints; omitted > 0 {
		a.Endpoints, a.EndpointsOmitted = a.Endpoints[:explanation.MaxEndpoints], omitted
	}
	if a.Plan != nil {
		a.Plan.AboutEqual = a.Plan.AboutEqual[:min(len(a.Plan.AboutEqual), explanation.MaxEndpoints)]
	}
}

// The roles of endpoints in an answer, in the order of its rows.
const (
	roleMain       = "main"
	roleHelper     = "helper"
	roleAboutEqual = "about equal"
	roleRunnerUp   = "runner-up"
)

var roleOrder = []string{roleMain, roleHelper, roleAboutEqual, roleRunnerUp, ""}

func roleOf(id string, p *explanation.Plan) string {
	switch {
	case p == nil:
		return ""
	case p.Main == id:
		return roleMain
	case slices.ContainsFunc(p.Helpers, func(h explanation.Helper) bool { return h.Endpoint == id }):
		return roleHelper
	case slices.Contains(p.AboutEqual, id):
		return roleAboutEqual
	case p.RunnerUp == id:
		return roleRunnerUp
	}
	return ""
}

// previewQueue returns the place that the request would have in the admission queue, nil
// for a service without one.
func (r *run) previewQueue(c *catalogue.Catalogue, placeable bool) *explanation.Queue {
	if !c.HasPriorities(r.service.Name) {
		return nil
	}
	x := &explanation.Queue{Waits: !placeable, Place: 1}
	if q := r.server.queues.existing(r.service.Name); q != nil {
		place, waiting, tried := q.preview(r)
		x.Place, x.Waiting, x.Waits = place, waiting, x.Waits || !tried
	}
	return x
}

// previewRefusal returns the error that the request would end with if no plan is found
// while it may wait, nil if it has one.
func (r *run) previewRefusal(x *placement.Explanation, current bool) *explanation.Refusal {
	if !current {
		return refusal(notCurrentError(), r.stateWait())
	}
	if err := r.checkTimeUntilStop(); err != nil {
		return refusal(err, 0)
	}
	if x.Plan != nil {
		return nil
	}
	wait := time.Until(r.placementDeadline())
	if x.OutOfPermits && x.PermitWait > wait {
		wait = 0
	}
	earliest, latest, _ := r.retryWindow(x.Capacity, time.Now())
	after := time.Until(r.server.retries.next(earliest, latest))
	return refusal(r.noCapacityError(x.Capacity, after), wait)
}

func refusal(err error, wait time.Duration) *explanation.Refusal {
	e := fault.From(err)
	return &explanation.Refusal{Kind: e.Kind, Message: e.Message, AfterMs: max(0, wait).Milliseconds(), RetryAfterMs: max(0, e.RetryAfter).Milliseconds()}
}
