package main

import "fmt"

const (
	siteHost = "ficu95.example"
	orders   = "orders-desk"
	archive  = "archive-desk"
	drafts   = "proof-assistant"
	firstKey = "n2ctnfzs989anu6wsjnb"
	nextKey  = "anfqasnmgkcuyj8pjbvk"
)

// plainRoute returns a route to an application.
func plainRoute(name, prefix, kind, service string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":%q,"routeType":%q,"timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":%q,"maxAttempts":2,"public":false,"sessionAffinity":false}`,
		name, siteHost, prefix, kind, service)
}

// plainService returns an application.
func plainService(name string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}`, name)
}

// tenant returns a tenant with its keys, which are a JSON list.
func tenant(name, keys string) string {
	return fmt.Sprintf(`{"name":%q,"apiKeys":%s,"priority":1}`, name, keys)
}

// firstTenant holds firstKey.
var firstTenant = tenant("hule930", `["`+firstKey+`"]`)

// configuration returns a configuration. Routes, services and tenants are parts of JSON lists.
func configuration(version int, routes, services, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[%s]}`,
		version, routes, services, tenants)
}
