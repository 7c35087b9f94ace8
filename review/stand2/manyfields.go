package main

// This file is a trial: requests inside the limits whose headers have very many short fields.

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["manyfields"] = manyFields }

// manyFields reports whether a request inside the limits was not served in calm.
func manyFields(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "orders", "other")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(7, []string{"orders", "other"},
		route{name: "r-near", prefix: "/near/", kind: "unsafe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1},
		route{name: "r-far", prefix: "/far/", kind: "unsafe", service: "other", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
	if err := s.startAll(); err != nil {
		return false, err
	}
	broken := false
	for _, fields := range []int{10, 500, 1000, 1500, 2000, 2300} {
		if !trouble && fields > 10 {
			break
		}
		for _, prefix := range []string{"/near", "/far"} {
			q := request{id: newID(), method: http.MethodPost, path: prefix + "/w5/x", timeout: 4 * time.Second, body: []byte("x")}
			var b strings.Builder
			for i := range fields {
				fmt.Fprintf(&b, "%c%c%c: 1\r\n", 'a'+i/676%26, 'a'+i/26%26, 'a'+i%26)
			}
			head := strings.TrimSuffix(q.head(), "\r\n") + b.String() + "\r\n"
			conn, err := net.Dial("tcp", s.machines[0].ip+":8141")
			if err != nil {
				return false, err
			}
			_, _ = conn.Write([]byte(head + string(q.body)))
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				r.say("%d fields, %d bytes, %s: %v", fields, len(head), prefix, err)
				broken = true
			} else {
				r.say("%d fields, %d bytes, %s: %d %s", fields, len(head), prefix, resp.StatusCode, resp.Header.Get("Caroblift-Reason"))
				broken = broken || resp.StatusCode != http.StatusOK
			}
			_ = conn.Close()
			time.Sleep(1200 * time.Millisecond)
		}
	}
	return broken, nil
}
