package main

// configuration is the operator's configuration, as PROTOCOL.md describes it.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name            string  `json:"name"`
	Hostname        string  `json:"hostname"`
	PathPrefix      string  `json:"pathPrefix"`
	RouteType       string  `json:"routeType"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Public          bool    `json:"public"`
	SessionAffinity bool    `json:"sessionAffinity"`
	StreamResume    bool    `json:"streamResume"`
	TargetItlMs     float64 `json:"targetItlMs"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStartS     float64 `json:"coldStartS"`
	ColdPerS       float64 `json:"coldPerS"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

const (
	hostname = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	// modelService has replicas that get no requests in the cases.
	modelService = "wuno96b"
)

// deskConfiguration has the two kinds of requests to the members' order application:
// looking up an order may be repeated, placing one may not.
func deskConfiguration(version int, cold service) configuration {
	cold.HealthPath, cold.Protocol = "/healthz", "h1"
	return configuration{
		Version: version,
		Routes: []route{
			{Name: "r-lookup", Hostname: hostname, PathPrefix: "/lookup/", RouteType: "idempotent", TimeoutMs: 800, TargetLatencyMs: 300, Priority: 2, Service: cold.Name, MaxAttempts: 2},
			{Name: "r-stitch", Hostname: hostname, PathPrefix: "/stitch/", RouteType: "non_idempotent", TimeoutMs: 800, TargetLatencyMs: 300, Priority: 2, Service: cold.Name, MaxAttempts: 1},
		},
		Services: []service{cold, {Name: modelService, HealthPath: "/healthz", MaxConnections: 324, Protocol: "h1"}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants:  []tenant{{Name: "hule930", APIKeys: []string{apiKey}, Priority: 1}},
	}
}
