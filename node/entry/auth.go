package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

const bearer = "Bearer "

// authorize returns a refusal if the caller may not use the contract, and nil if
// it may. A contract without a token is open to every caller that reaches the port.
func (e *Entry) authorize(r *http.Request, id string, rq request) *pb.Answer {
	c := e.opts.Contract(rq.contract)
	if c == nil || c.Deleted {
		if len(rq.job.Tasks) > 0 {
			// The job's home refuses it, since only the home knows whether the id was
			// used before.
			return nil
		}
		return denial(id, rq, jobs.CodeUnknownContract, "no such contract")
	}
	if c.TokenSha256 == "" {
		return nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || !tokenMatches(token, c.TokenSha256) {
		return denial(id, rq, jobs.CodeUnauthorized, "the contract requires its bearer token")
	}
	return nil
}

// denial returns the answer to a request that is refused at this entry. A job
// whose id the caller supplied may have run before the contract's token changed or
// the contract was deleted. Its outcome is unknown: "not run" would make the caller
// repeat work that was done.
func denial(id string, rq request, code jobs.Code, message string) *pb.Answer {
	a := refusal(id, code, message)
	if !rq.fresh {
		a.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	return a
}

// tokenMatches reports whether digest is the hex SHA-256 of token. It compares in
// constant time, so that the time taken reveals nothing about the digest.
func tokenMatches(token, digest string) bool {
	wantDigest, err := hex.DecodeString(digest)
	if err != nil {
		return false
	}
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(got[:], wantDigest) == 1
}
