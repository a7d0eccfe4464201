package decide_test

import (
	"fmt"
	"time"

	"caperrelay/decide"
)

func Example() {
	d, err := decide.New(decide.Settings{
		DispatcherCount: 1,
		Granularity:     time.Millisecond,
		Classes: []decide.Class{{
			Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 1, Effect: decide.Safe, Kind: decide.Any,
		}},
		Limits: decide.Limits{MaxAttempts: 3, MaxOpen: 100},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, a := range d.Handle(0, []decide.Event{
		decide.ListFull{Workers: []decide.Worker{{ID: 7, State: decide.Ready}}},
		decide.Request{ID: 1, Budget: time.Second},
	}) {
		if send, ok := a.(decide.Send); ok {
			fmt.Println("request", send.Request, "to worker", send.Worker)
		}
	}
	// Output: request 1 to worker 7
}
