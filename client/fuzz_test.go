package client

import "testing"

// FuzzInterpret passes in arbitrary responses: the client must not crash or accept
// an incomplete answer, and must always return an answer or an error.
func FuzzInterpret(f *testing.F) {
	f.Add(200, `{"id":"home-1.x","state":"complete","results":[{"task":1},{"task":0}]}`)
	f.Add(200, `{"id":"home-1.x","state":"complete","results":[{"task":4294967295},{"task":0}]}`)
	f.Add(202, `{"id":"home-1.x","state":"running"}`)
	f.Add(404, `{"code":"not_found"}`)
	f.Add(429, `{"code":"rate_limited","outcome":"not run","retry_after_ms":4294967295}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		for _, accepted := range []bool{false, true} {
			s := submission{id: "home-1.x", tasks: 2, accepted: accepted}
			v := s.interpret(&reply{status: status, body: []byte(body)})
			switch {
			case v.answer == nil && v.err == nil:
				t.Error("neither answer nor error")
			case v.answer != nil && (len(v.answer.Results) != 2 || !v.final):
				t.Errorf("answer %+v, final %t", v.answer, v.final)
			case v.final && v.answer == nil && s.lastError == nil:
				t.Errorf("final without an error from an entry: %v", v.err)
			}
		}
	})
}
