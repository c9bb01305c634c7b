package loopback

import (
	"fmt"
	"math/rand/v2"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
)

// user submits a job, polls its status or cancels it until it has a final status, and checks the responses.
type user struct {
	id                ident.JobID
	tasks             int
	cancels           bool
	accepted          bool
	finalStatus       api.Status // the first final status
	cancelConfirmedAt time.Time  // when a response first reported the job as cancelled
	violations        []string
	// change, if set, modifies the specification that newSpec returns, and the run time of the tasks.
	change func(*api.Spec, *Workload)
}

// userTimeout bounds how long a user waits. It does not check the speed of the cluster, as all links heal long before.
const userTimeout = 4 * time.Minute

func (u *user) reportViolation(format string, args ...any) {
	u.violations = append(u.violations, fmt.Sprintf(format, args...))
}

// newSpec returns the specification of the user's job and the run time of its tasks.
func (u *user) newSpec(rng *rand.Rand) (api.Spec, Workload) {
	spec := api.Spec{
		ID:       u.id,
		Class:    "render",
		Team:     []string{"red", "blue"}[rng.IntN(2)],
		Shape:    api.Batch,
		Priority: api.Standard,
		Tasks:    u.tasks,
		VCPUs:    1,
		MemoryGB: 1,
		Image:    fmt.Sprintf("img-%d", rng.IntN(3)),
		ImageGB:  0.1,
		Spot:     rng.IntN(2) == 0,
		RuntimeS: 1,
	}
	workload := Workload{FirstDuration: time.Duration(300+rng.IntN(1500)) * time.Millisecond}
	if u.change != nil {
		u.change(&spec, &workload)
	}
	return spec, workload
}

// run submits the job and polls until it has a final status. No other goroutine may use rng.
func (u *user) run(c *Cluster, rng *rand.Rand, nodes int) {
	spec, workload := u.newSpec(rng)
	end := time.Now().Add(userTimeout)
	for !u.accepted && time.Now().Before(end) {
		switch response := c.Submit(rng.IntN(nodes), spec, workload); response.Status {
		case 200, 201:
			u.accepted = true
		case 400, 422:
			u.reportViolation("valid submission: got HTTP status %d, want 200 or 201", response.Status)
			return
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
	if u.cancels {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	for u.finalStatus == "" && time.Now().Before(end) {
		var response Response
		if u.cancels {
			response = c.Cancel(rng.IntN(nodes), u.id)
		} else {
			response = c.Get(rng.IntN(nodes), u.id)
		}
		u.checkResponse(response)
		time.Sleep(150 * time.Millisecond)
	}
}

// checkResponse checks a response about the job against earlier responses.
func (u *user) checkResponse(response Response) {
	switch {
	case response.Status == 404:
		u.reportViolation("accepted job: got HTTP status 404, want the job to be found")
	case response.Status != 200:
	case response.Job.Status == "cancelled" && !u.cancels:
		u.reportViolation("got status cancelled, though the user did not cancel the job")
	case response.Job.Status == "done" || response.Job.Status == "cancelled":
		if u.finalStatus != "" && u.finalStatus != response.Job.Status {
			u.reportViolation("final status changed: got %s, then %s", u.finalStatus, response.Job.Status)
		}
		if u.finalStatus == "" {
			u.finalStatus = response.Job.Status
			if u.finalStatus == "cancelled" {
				u.cancelConfirmedAt = time.Now()
			}
		}
	case u.finalStatus != "":
		u.reportViolation("final status changed: got %s, then %s", u.finalStatus, response.Job.Status)
	}
}

// checkOutcome checks the final status of the job against the record of the workers.
func (u *user) checkOutcome(c *Cluster) {
	switch u.finalStatus {
	case "":
		u.reportViolation("no final status within %v", userTimeout)
	case "done":
		if !c.Recorder.complete(u.id, u.tasks) {
			u.reportViolation("got status done, but not all %d tasks have completed on workers", u.tasks)
		}
	case "cancelled":
		if n := c.Recorder.startsAfter(u.id, u.cancelConfirmedAt.Add(c.CancelDeadline())); n > 0 {
			u.reportViolation("%d tasks started after the cancellation deadline, want 0", n)
		}
	}
}
