package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["hup"] = func(r *recorder, _ bool) (bool, error) {
		s, err := newSite(r, "orders")
		if err != nil {
			return false, err
		}
		defer s.end()
		s.configure(7, []string{"orders"}, route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
		m := s.machines[0]
		for d := time.Duration(0); d < 60*time.Millisecond; d += 2 * time.Millisecond {
			if err := s.startNode(m); err != nil {
				return false, err
			}
			time.Sleep(d)
			_ = m.node.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
			r.say("hup after %v: ended %v %v", d, m.node.hasEnded(), m.node.err)
			m.node.kill()
		}
		return false, s.startServer(m)
	}
	cases["paths"] = func(r *recorder, _ bool) (bool, error) {
		s, err := newSite(r, "orders", "orders")
		if err != nil {
			return false, err
		}
		defer s.end()
		s.configure(7, []string{"orders"}, route{name: "r-book", prefix: "/book/", kind: "safe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
		if err := s.startAll(); err != nil {
			return false, err
		}
		for _, p := range []string{"/book/a|b", "/book/a%7Cb", "/book/a%2Fb", "/book/{x}", "/book/a^b", "/book/\"q\"", "/book/a%zzb", "/book/a b", "/book//x", "/book/x?", "/book/x?a=b;c=d&&", "/book/x?a=|{}", "/book/x#frag", "/book/\xc3\xa9", "/book/%C3%A9", "/book/../x", "/book/./x", "/book/x;y=1", "/book/a\\b", "/book/<x>", "/book/a%20b%2fc", "http://" + host + "/book/x", "//book/x", "/book/'()*!", "/book/x?a#b", "/%62ook/x"} {
			for _, hostName := range []string{host} {
				conn, err := net.Dial("tcp", s.machines[0].ip+":8141")
				if err != nil {
					return false, err
				}
				id := newID()
				fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n\r\n", p, hostName, name("requestID"), id, name("timeout"))
				_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				status := 0
				if err == nil {
					status = resp.StatusCode
				}
				_ = conn.Close()
				time.Sleep(10 * time.Millisecond)
				seen := ""
				for _, m := range s.machines {
					f, _ := os.ReadFile(m.ledger)
					sc := bufio.NewScanner(bytes.NewReader(f))
					for sc.Scan() {
						if l := sc.Text(); strings.Contains(l, id) && strings.Contains(l, " run ") {
							seen = l
						}
					}
				}
				r.say("%q -> %d %v | %s", p, status, err, seen)
			}
		}
		for _, h := range []string{"FICU95.example", host + ":8141", host + "."} {
			conn, _ := net.Dial("tcp", s.machines[0].ip+":8141")
			fmt.Fprintf(conn, "GET /book/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n\r\n", h, name("requestID"), newID(), name("timeout"))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return false, err
			}
			r.say("host %q -> %d", h, resp.StatusCode)
			_ = conn.Close()
		}
		return false, nil
	}
}
