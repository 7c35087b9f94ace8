package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() {
	cases["fuzz"] = func(r *recorder, _ bool) (bool, error) {
		s, err := newSite(r, "orders", "orders")
		if err != nil {
			return false, err
		}
		defer s.end()
		s.configure(7, []string{"orders"},
			route{name: "r-read", prefix: "/read/", kind: "safe", service: "orders", timeoutS: 1.5, attempts: 2, sloS: 0.8, priority: 1},
			route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutS: 1.5, attempts: 2, sloS: 0.8, priority: 1})
		if err := s.startAll(); err != nil {
			return false, err
		}
		id := func() string { return name("requestID") + ": " + newID() + "\r\n" }
		raw := map[string]string{}
		for _, t := range []string{"NaN", "Inf", "-Inf", "-1", "0", "1e300", "abc", "", "1,2", "0.0001", "  5000  "} {
			raw["timeout "+t] = "GET /read/w5/x HTTP/1.1\r\nHost: " + host + "\r\n" + id() + name("timeout") + ": " + t + "\r\n\r\n"
		}
		for _, h := range []string{"Expect: 100-continue", "Expect: nonsense", "TE: trailers", "Connection: close, " + name("requestID"), "Connection: host", "Connection: content-length", "Caroblift-Attempt: 99999999999999999999", "Caroblift-Suspect: xxx", "Caroblift-Fingerprint: zz", "Range: bytes=0-3", "If-None-Match: *", "Cookie: a=b; c=d", "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA", name("requestID") + ": second", name("expect") + ": nobody", name("notExecuted") + ": 1", name("callerService") + ": forged", "Idempotency-Key: 7", "Trailer: X-A", "Content-Encoding: gzip", "Accept-Encoding: gzip", "Keep-Alive: timeout=0", "Proxy-Connection: close"} {
			for _, m := range []string{"GET /read", "POST /book", "HEAD /read", "PUT /book", "DELETE /book", "OPTIONS /read", "TRACE /read"} {
				raw[m+" "+h] = m + "/w5/x HTTP/1.1\r\nHost: " + host + "\r\n" + id() + h + "\r\nContent-Length: 3\r\n\r\nabc"
				raw[m+" chunked "+h] = m + "/w5/x HTTP/1.1\r\nHost: " + host + "\r\n" + id() + h + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
				raw[m+" trailer "+h] = m + "/w5/x HTTP/1.1\r\nHost: " + host + "\r\n" + id() + h + "\r\nTrailer: X-B\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-B: c\r\n\r\n"
				raw[m+" empty chunked "+h] = m + "/w5/x HTTP/1.1\r\nHost: " + host + "\r\n" + id() + h + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
			}
		}
		raw["options star"] = "OPTIONS * HTTP/1.1\r\nHost: " + host + "\r\n" + id() + "\r\n"
		raw["http 1.0"] = "GET /read/w5/x HTTP/1.0\r\nHost: " + host + "\r\n" + id() + "\r\n"
		raw["both"] = "POST /book/w5/x HTTP/1.1\r\nHost: " + host + "\r\n" + id() + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		raw["two lengths"] = "POST /book/w5/x HTTP/1.1\r\nHost: " + host + "\r\n" + id() + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"
		count := map[string]int{}
		for what, text := range raw {
			for _, m := range s.machines {
				conn, err := net.Dial("tcp", m.ip+":8141")
				if err != nil {
					return false, err
				}
				_, _ = conn.Write([]byte(text))
				_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
				method, _, _ := strings.Cut(text, " ")
				in := bufio.NewReader(conn)
				resp, err := http.ReadResponse(in, &http.Request{Method: method})
				for err == nil && resp.StatusCode == 100 {
					resp, err = http.ReadResponse(in, &http.Request{Method: method})
				}
				key := fmt.Sprint(err)
				if err == nil {
					key = resp.Status + " " + resp.Header.Get("Caroblift-Reason")
				}
				count[key]++
				if err != nil || resp.StatusCode != 200 {
					r.note("%s at %s: %s", what, m.name, key)
				}
				_ = conn.Close()
			}
		}
		r.say("%v", count)
		for _, m := range s.machines {
			data, _ := os.ReadFile(m.nodeLog)
			r.say("%s panics: %d", m.name, strings.Count(string(data), "panic"))
		}
		return false, nil
	}
}
