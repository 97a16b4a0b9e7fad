package entry

// Way is how a request for a job of another home is served.
type Way uint8

// Ways.
const (
	// AskHome: the home is listed among the entries; forward the request to it.
	AskHome Way = iota
	// HomeGone: the home's lease has lapsed in a list that is up to date. It may
	// only be paused, so agents that still hear from it won't fence the job.
	HomeGone
	// HomeUnsure: the list is too old to tell a home that has gone from one that
	// is new. The outcome is unknown for now; asking again later may tell.
	HomeUnsure
)

// Route chooses the way by whether the home is listed among the entries, and
// whether the list is fresh: confirmed by the platform's service within the time
// in which an entry announces itself there.
func Route(listed, fresh bool) Way {
	switch {
	case listed:
		return AskHome
	case fresh:
		return HomeGone
	}
	return HomeUnsure
}
