package main

// This file is a trial: entries of another writer in every kind of object of the store.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["odd"] = oddEntries }

// oddEntries reports whether a node ended or was not ready after it had read odd entries.
func oddEntries(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "orders", "orders", "orders")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(7, []string{"orders"}, route{name: "r-book", prefix: "/book/", kind: "safe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
	if err := s.startAll(); err != nil {
		return false, err
	}
	s.store.mu.Lock()
	kinds := map[string]json.RawMessage{}
	for kind, objects := range s.store.objects {
		for objectName, o := range objects {
			kinds[kind] = o.Spec
			r.say("kind %s has %s: %.120s", kind, objectName, o.Spec)
		}
	}
	for _, kind := range []string{"servers", "condemned", "rollouts"} {
		if kinds[kind] == nil {
			kinds[kind] = json.RawMessage(`{}`)
		}
	}
	if trouble {
		odd := []string{`null`, `[]`, `5`, `"x"`, `{}`, `{"name":5}`, `{"name":"machine-9"}`, `{"name":"machine-1","peer":"127.0.0.1:1"}`, strings.Repeat("[", 9000) + strings.Repeat("]", 9000), `"` + strings.Repeat("y", 200000) + `"`, `{"ends":[{"server":-1,"weight":99999999999}],"trials":-4}`}
		for kind := range kinds {
			for i, spec := range odd {
				objectName := fmt.Sprintf("odd-%d", i)
				if kind != "config" && i == 0 {
					objectName = strings.Repeat("n", 300)
				}
				s.store.write(kind, objectName, storeObject{Spec: json.RawMessage(spec), Status: json.RawMessage(spec)})
			}
		}
	}
	s.store.mu.Unlock()
	time.Sleep(2 * time.Second)
	broken := false
	for _, m := range s.machines {
		if m.node.hasEnded() {
			r.say("%s ended: %v", m.name, m.node.err)
			broken = true
		}
		m.node.kill()
		if err := s.startNode(m); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	for _, m := range s.machines {
		ready := s.awaitReady(m, time.Second) == nil
		a := (&consumer{address: m.ip + ":8141"}).send(request{method: http.MethodGet, path: "/book/w5/x", timeout: 3 * time.Second})
		data, _ := os.ReadFile(m.nodeLog)
		r.say("%s ready %v, ended %v, panics %d, %v", m.name, ready, m.node.hasEnded(), strings.Count(string(data), "panic"), a)
		broken = broken || !ready || m.node.hasEnded()
	}
	return broken, nil
}
