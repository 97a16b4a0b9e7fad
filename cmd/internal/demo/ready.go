package demo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/client"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// awaitReady returns when each entry has answered a job. It returns ErrStart if
// one doesn't within readyTimeout.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	payload, err := json.Marshal(standin.Payload{RunMillis: 1})
	if err != nil {
		panic(err) // plain numbers
	}
	job := client.Job{
		Contract: d.profile.Streams[0].Contract.Name, Kind: "probe",
		Tasks: []jobs.Task{{Payload: payload}},
	}
	for _, address := range d.Callers() {
		one, err := client.New(client.Options{Addresses: []string{address}})
		if err != nil {
			return ErrStart.Wrap(err, "client")
		}
		for {
			_, err := one.Submit(ctx, job)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return ErrStart.Wrap(err, "%s did not serve within %s", address, readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}
