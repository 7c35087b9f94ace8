package main

// This file plays consumers that send a second request ahead, before they have read the
// answer to the first.

import (
	"sync"
	"time"
)

func init() { cases["ahead"] = playAhead }

const (
	aheadConsumers = 60                      // consumers that send two requests at once
	aheadWork      = "90"                    // ms that the server works on a request, the mean of the site file
	routeTimeout   = 1200 * time.Millisecond // of the route, and the time budget of the requests
	answerSlack    = 500 * time.Millisecond  // in which a request has to be answered after that
)

// playAhead counts the requests that are unanswered at their route's timeout, and how many
// of these are unanswered half a second later. Without the disruption the second request
// follows the first answer.
func playAhead(r *record) (bool, error) {
	d, err := newDeployment(r, []string{"kayit", "kayit", "kayit", "kayit", "arsiv"}, nil)
	defer d.close()
	if err != nil {
		return false, err
	}
	entry := d.machines[0]
	stop := time.Now().Add(20 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	statuses := map[int]int{}
	note := func(res result, sent time.Time) {
		mu.Lock()
		defer mu.Unlock()
		took = append(took, time.Since(sent))
		statuses[res.status]++
		r.line("%v, %v after it was sent", res, time.Since(sent).Round(time.Millisecond))
	}
	all.Go(func() { // an ordinary consumer
		for c, err := dial(entry); err == nil && time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
			id := newID("ordinary")
			sent := time.Now()
			note(c.do("GET", requestText("GET", "/read/x?work="+aheadWork, id, 1200), id, 30*time.Second), sent)
		}
	})
	for n := range aheadConsumers {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			for time.Now().Before(stop) {
				c, err := dial(entry)
				if err != nil {
					return
				}
				sendTwo(c, note)
				c.close()
				time.Sleep(time.Second)
			}
		})
	}
	all.Wait()
	unanswered, late := 0, 0
	longest := time.Duration(0)
	for _, t := range took {
		longest = max(longest, t)
		if t > routeTimeout {
			unanswered++
		}
		if t > routeTimeout+answerSlack {
			late++
		}
	}
	r.say("%d requests, by status %v; the longest took %v", len(took), statuses, longest.Round(time.Millisecond))
	r.say("unanswered after %v: %d, of these after %v more: %d", routeTimeout, unanswered, answerSlack, late)
	return late >= 8 && 2*late > unanswered, nil
}

// sendTwo sends two requests on a connection and reads their answers.
func sendTwo(c *client, note func(result, time.Time)) {
	first, second := newID("first"), newID("second")
	target := "/read/x?work=" + aheadWork
	if !trouble {
		for _, id := range []string{first, second} {
			sent := time.Now()
			note(c.do("GET", requestText("GET", target, id, 1200), id, 30*time.Second), sent)
		}
		return
	}
	sent := time.Now()
	note(c.do("GET", requestText("GET", target, first, 1200)+requestText("GET", target, second, 1200), first, 30*time.Second), sent)
	res := result{id: second, kept: true}
	c.read("GET", &res)
	note(res, sent)
}
