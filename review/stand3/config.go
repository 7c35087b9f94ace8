package main

// This file makes the configurations that the operator writes to the store.

// route is one rule of a host.
type route struct {
	name     string
	host     string
	prefix   string
	kind     string
	service  string
	split    []map[string]any // in place of service
	timeoutS float64
	attempts int
}

// configuration returns a configuration in full.
func configuration(version string, services []string, routes []route) map[string]any {
	listeners, order := map[string][]any{}, []string{}
	for _, r := range routes {
		action := map[string]any{"timeoutS": r.timeoutS, "maxAttempts": r.attempts}
		if r.split != nil {
			action["split"] = r.split
		} else {
			action["service"] = r.service
		}
		if listeners[r.host] == nil {
			order = append(order, r.host)
		}
		listeners[r.host] = append(listeners[r.host], map[string]any{
			"name": r.name, "kind": r.kind, "sloS": 0.8, "priority": 1, "match": map[string]any{name("prefix"): r.prefix}, "action": action,
		})
	}
	hosts := []any{}
	for _, host := range order {
		hosts = append(hosts, map[string]any{"host": host, "rules": listeners[host]})
	}
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "listeners": hosts, "clusters": clusters,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
}

// operatorWrites writes a configuration as the operator does, and records it.
func (t *trial) operatorWrites(config map[string]any) {
	at := t.store.put("config", "main", config)
	t.record.add("operator: configuration %s is confirmed at %s", config["version"], at.Format("15:04:05.000"))
}
