// Package explanation holds the answer of an entry's GET /explain: where a request would be
// placed now, and why. The entry makes it, and apricotspokectl prints it.
package explanation

import "github.com/apricotspoke/apricotspoke/protocol/fault"

// MaxEndpoints bounds the endpoints of an answer; the largest service has fewer.
const MaxEndpoints = 1000

// The names of the query parameters.
const (
	Host         = "host"
	Path         = "path"
	PromptTokens = "prompt_tokens"
	OutputTokens = "output_tokens"
	Organisation = "organisation"
)

// Answer describes where a request would be placed. Times are in ms.
type Answer struct {
	CatalogueVersion     uint64   `json:"catalogue_version"`
	StateCurrent         bool     `json:"state_current"`
	StateAgeMs           *int64   `json:"state_age_ms"` // since a quorum confirmed the state; null if none has
	Route                string   `json:"route"`
	Service              string   `json:"service"`
	OtherServices        []string `json:"other_services,omitempty"` // of the route's split
	Organisation         string   `json:"organisation,omitempty"`
	OrganisationPriority int      `json:"organisation_priority"` // the route's for an organisation without one
	RoutePriority        int      `json:"route_priority"`
	Plan                 *Plan    `json:"plan"` // null when no endpoint can take the request now
	NoPlan               string   `json:"no_plan,omitempty"`
	Queue                *Queue   `json:"queue"` // null for a service without an admission queue
	// Refusal is the error that the caller gets unless a plan is found while the request waits;
	// null when the request would be sent.
	Refusal          *Refusal   `json:"refusal"`
	Endpoints        []Endpoint `json:"endpoints"`
	EndpointsOmitted int        `json:"endpoints_omitted"` // beyond MaxEndpoints
}

// Plan is the plan that would be chosen.
type Plan struct {
	Main             string   `json:"main"`
	Helpers          []Helper `json:"helpers"`
	AboutEqual       []string `json:"about_equal,omitempty"` // endpoints among which the main one is drawn
	PredictedFirstMs float64  `json:"predicted_first_ms"`
	Score            float64  `json:"score"`
	Loss             float64  `json:"loss"`
	RunnerUp         string   `json:"runner_up,omitempty"`
	RunnerUpScore    float64  `json:"runner_up_score"`
	// ReportAgeMs is the age of the load report by which the main endpoint is known; null
	// when its work items are known.
	ReportAgeMs *int64 `json:"report_age_ms"`
}

// Helper is an endpoint that would prefill a part of the prompt.
type Helper struct {
	Endpoint      string `json:"endpoint"`
	ReserveTokens int    `json:"reserve_tokens"` // memory to reserve there
}

// Queue describes the admission queue of the service.
type Queue struct {
	Waits   bool `json:"waits"`   // the request would not be placed at once
	Place   int  `json:"place"`   // in the order, 1 for the first
	Waiting int  `json:"waiting"` // requests in the queue now
}

// Refusal is the error that the caller would get.
type Refusal struct {
	Kind         fault.Kind `json:"kind"`
	Message      string     `json:"message"`
	AfterMs      int64      `json:"after_ms"` // wait before the refusal
	RetryAfterMs int64      `json:"retry_after_ms"`
}

// Endpoint is one endpoint of the service.
type Endpoint struct {
	Endpoint   string `json:"endpoint"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role,omitempty"`   // main, helper, runner-up or about equal
	Reason     string `json:"reason,omitempty"` // why it can't be the main endpoint
	ForMs      int64  `json:"for_ms,omitempty"` // how long the reason still holds, 0 when it isn't known
}

// Failure is the body of an answer with an error status.
type Failure struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
}
