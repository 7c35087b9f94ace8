package call

// This file defines the verdict on a failed attempt, and the proof that it takes to
// tell a caller that a call has not run.

import "net/http"

// Proof says how it is known that a call has not run and never will.
type Proof string

// Proofs that a call has not run.
const (
	ProofNotSent  Proof = "not-sent" // it was refused before it was sent, or no connection was established to send it on
	ProofRejected Proof = "rejected" // the backend server's answer names the call and states that it was not executed
	ProofStream   Proof = "stream"   // the other node refused the HTTP/2 stream, which guarantees that it was not processed
)

// Verdict is what is known about an attempt, or about a call after its last
// attempt: why it failed and whether it ran. The verdict on a success has no
// reason. Outside this package an outcome of OutcomeNotRun comes only from NotRun
// and ParseVerdict, which take the proof.
type Verdict struct {
	reason  Reason
	outcome Outcome
	proof   Proof
}

// Success returns the verdict on an attempt that the backend server answered.
func Success() Verdict { return Verdict{outcome: OutcomeAnswered} }

// NotRun returns the verdict on a call that has not run and never will.
func NotRun(r Reason, p Proof) Verdict { return Verdict{r, OutcomeNotRun, p} }

// MayHaveRun returns the verdict on a call with an unknown outcome.
func MayHaveRun(r Reason) Verdict { return Verdict{reason: r} }

// Answered returns the verdict on a call that failed by the answer of the backend
// server.
func Answered(r Reason) Verdict { return Verdict{reason: r, outcome: OutcomeAnswered} }

// Reason returns why the call failed, or "" if it did not.
func (v Verdict) Reason() Reason { return v.reason }

// Outcome returns whether the call has run.
func (v Verdict) Outcome() Outcome { return v.outcome }

// Proof returns the proof that the call has not run, or "" if it may have.
func (v Verdict) Proof() Proof { return v.proof }

// Combine returns the verdict on a call whose last attempt ended with v and whose
// attempts before ended with earlier: the reason of the last one, and an outcome as
// Outcome.Combine gives it.
func (v Verdict) Combine(earlier Verdict) Verdict {
	v.outcome = v.outcome.Combine(earlier.outcome)
	if v.outcome != OutcomeNotRun {
		v.proof = ""
	}
	return v
}

// Status returns the HTTP status code of an answer that reports the verdict. It
// promises that the call has not run only if that is proved.
func (v Verdict) Status() int {
	status := v.reason.status()
	if v.outcome != OutcomeNotRun && Promises(status) {
		return http.StatusBadGateway
	}
	return status
}

// Promises reports whether callers take a status code as a promise that the call
// has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// SetHeaders sets the headers by which an answer reports the verdict to another
// node.
func (v Verdict) SetHeaders(h http.Header) {
	h[HeaderReason] = []string{string(v.reason)}
	h[HeaderRan] = []string{v.outcome.String()}
	if v.outcome == OutcomeNotRun {
		h[HeaderRefused] = []string{string(v.reason)}
		h[HeaderProof] = []string{string(v.proof)}
	}
}

// ParseVerdict returns the verdict that the header of another node's answer
// reports. A call has not run only if the header has a proof that is known. Nodes
// of an earlier version send none; of these, a reason for which a gate refuses calls
// before it sends them is a proof.
func ParseVerdict(h http.Header) Verdict {
	v := Verdict{reason: Reason(h.Get(HeaderReason)), outcome: ParseOutcome(h.Get(HeaderRan))}
	if v.outcome != OutcomeNotRun {
		return v
	}
	switch p := Proof(h.Get(HeaderProof)); {
	case p == ProofNotSent, p == ProofRejected, p == ProofStream:
		v.proof = p
	case p == "" && !v.reason.MayHaveArrived():
		v.proof = ProofNotSent
	default:
		v.outcome = OutcomeUnknown
	}
	return v
}
