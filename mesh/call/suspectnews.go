package call

// This file converts suspicions to and from the messages between nodes, in which times
// are ages, since clocks differ.

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// SuspectNews passes suspicions on to other nodes. It implements member.Suspicions.
type SuspectNews struct{ *Suspects }

// News returns up to limit suspicions that changed since they were last returned.
func (n SuspectNews) News(now time.Time, limit int) []*wire.Suspicion {
	return encodeSuspicions(n.TakeNews(limit), now)
}

// Strongest returns up to limit of the suspicions that make a difference.
func (n SuspectNews) Strongest(now time.Time, limit int) []*wire.Suspicion {
	return encodeSuspicions(n.Suspects.Strongest(limit, now), now)
}

// Merge takes the suspicions in a message. It ignores what is not valid.
func (n SuspectNews) Merge(now time.Time, messages []*wire.Suspicion) {
	if len(messages) > 0 {
		n.Suspects.Merge(decodeSuspicions(messages, now), now)
	}
}

func encodeSuspicions(all []Suspicion, now time.Time) []*wire.Suspicion {
	var out []*wire.Suspicion
	for _, s := range all {
		m := &wire.Suspicion{Request: s.Request[:]}
		if !s.Answered.IsZero() {
			m.Answered = ageMS(s.Answered, now) + 1
		}
		if !s.RefusedAt.IsZero() {
			m.Asked = ageMS(s.RefusedAt, now) + 1
		}
		if !s.Survived.IsZero() {
			m.Survived = ageMS(s.Survived, now) + 1
		}
		if s.trials() > 0 {
			m.Trials, m.Trial = uint32(s.Trials), ageMS(s.TrialAt, now)
		}
		for _, e := range s.Ends {
			m.Ends = append(m.Ends, &wire.End{Server: e.Server, Weight: uint32(e.Weight), Age: ageMS(e.At, now), Answered: e.Answered})
		}
		out = append(out, m)
	}
	return out
}

// ageMS returns the time since at in ms, within what a message holds.
func ageMS(at, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxInt32))
}

// timeBefore returns the time of an age in ms.
func timeBefore(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func decodeSuspicions(messages []*wire.Suspicion, now time.Time) []Suspicion {
	var out []Suspicion
	for _, m := range messages {
		if len(m.GetRequest()) != len(Fingerprint{}) {
			continue
		}
		s := Suspicion{Request: Fingerprint(m.GetRequest())}
		if m.GetAnswered() > 0 {
			s.Answered = timeBefore(now, m.GetAnswered()-1)
		}
		if m.GetAsked() > 0 {
			s.RefusedAt = timeBefore(now, m.GetAsked()-1)
		}
		if m.GetSurvived() > 0 {
			s.Survived = timeBefore(now, m.GetSurvived()-1)
		}
		if m.GetTrials() > 0 {
			s.Trials, s.TrialAt = int(min(m.GetTrials(), math.MaxInt32)), timeBefore(now, m.GetTrial())
		}
		for _, e := range m.GetEnds()[:min(len(m.GetEnds()), maxEnds)] {
			if e.GetWeight() >= WeightCrowd && e.GetWeight() <= WeightAlone {
				s.Ends = append(s.Ends, End{Server: e.GetServer(), Weight: int(e.GetWeight()), At: timeBefore(now, e.GetAge()), Answered: e.GetAnswered()})
			}
		}
		out = append(out, s)
	}
	return out
}

// FormatSuspicion returns the value of HeaderSuspect: all that the entry node knows of the
// request of a call on probation.
func FormatSuspicion(s Suspicion, now time.Time) string {
	encoded, err := proto.Marshal(encodeSuspicions([]Suspicion{s}, now)[0])
	if err != nil {
		return "" // the message has no field that can't be encoded
	}
	return base64.RawURLEncoding.EncodeToString(encoded)
}

// ParseSuspicion parses the value of HeaderSuspect. It returns false if the value is
// invalid.
func ParseSuspicion(text string, now time.Time) (Suspicion, bool) {
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	var m wire.Suspicion
	if err != nil || proto.Unmarshal(encoded, &m) != nil {
		return Suspicion{}, false
	}
	decoded := decodeSuspicions([]*wire.Suspicion{&m}, now)
	if len(decoded) == 0 {
		return Suspicion{}, false
	}
	return decoded[0], true
}

// ServerHash identifies an incarnation of a backend server in an End.
func ServerHash(instance, server string, epoch uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(instance+"\x00"+server+"\x00"), epoch))
}

// Format returns the value of HeaderEnded: server and weight, separated by a slash.
func (e End) Format() string {
	return strconv.FormatUint(e.Server, 16) + "/" + strconv.Itoa(e.Weight)
}

// ParseEnd parses the value of HeaderEnded, for a server that ended just now. It returns
// false if the value is invalid.
func ParseEnd(text string, now time.Time) (End, bool) {
	server, weight, _ := strings.Cut(text, "/")
	id, err := strconv.ParseUint(server, 16, 64)
	w, weightErr := strconv.Atoi(weight)
	if err != nil || weightErr != nil || w < WeightBystander || w > WeightAlone {
		return End{}, false
	}
	return End{Server: id, Weight: w, At: now}, true
}
