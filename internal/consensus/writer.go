package consensus

// writer writes to the folder on a goroutine of its own, so that a slow disk holds up no tick and no heartbeat.
type writer struct {
	store   *store
	jobs    chan []storeJob
	results chan writeResult
}

// writeResult is jobs that were written, up to the first error.
type writeResult struct {
	jobs []storeJob
	err  error
}

func newWriter(store *store) *writer {
	return &writer{store: store, jobs: make(chan []storeJob, 1), results: make(chan writeResult, 1)}
}

// run writes until done is closed; what is under way then is finished.
func (w *writer) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case jobs := <-w.jobs:
			select {
			case w.results <- w.write(jobs):
			case <-done:
				return
			}
		}
	}
}

func (w *writer) write(jobs []storeJob) (result writeResult) {
	result.jobs = jobs
	defer func() {
		if x := recover(); x != nil {
			result.err = &ReplicaFailed{Why: oneLine(x)}
		}
	}()
	for _, job := range jobs {
		if result.err = job.run(w.store); result.err != nil {
			break
		}
	}
	return result
}
