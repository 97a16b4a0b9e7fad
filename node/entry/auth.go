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

// authorize returns why a caller may not act for a contract, nil if it may. A
// contract without a token is open to every caller that reaches the port.
func (e *Entry) authorize(r *http.Request, id string, rq request) *pb.Answer {
	c := e.opts.Contract(rq.contract)
	if c == nil || c.Deleted {
		if len(rq.job.Tasks) > 0 {
			// The home refuses it, and knows whether the id was used before.
			return nil
		}
		return denial(id, rq, jobs.CodeUnknownContract, "no such contract")
	}
	if c.TokenSha256 == "" {
		return nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || !tokenMatches(token, c.TokenSha256) {
		return denial(id, rq, jobs.CodeUnauthorized, "the contract asks for its bearer token")
	}
	return nil
}

// denial refuses a caller. Under an id that it brought, the job may have run
// before the contract's token was changed or the contract deleted; "not run"
// would then have the caller do again what was done.
func denial(id string, rq request, code jobs.Code, message string) *pb.Answer {
	a := refusal(id, code, message)
	if !rq.fresh {
		a.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	return a
}

// tokenMatches compares in constant time, so that the time taken tells nothing
// of the digest.
func tokenMatches(token, digest string) bool {
	want, err := hex.DecodeString(digest)
	if err != nil {
		return false
	}
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(got[:], want) == 1
}
