package consensus

// writer writes to the folder on a goroutine of its own, so that a slow disk delays no ticks and no heartbeats.
type writer struct {
	store   *store
	jobs    chan []storeJob
	results chan writeResult
}

// writeResult is the result of a batch of jobs: those before the first error are on disk.
type writeResult struct {
	jobs []storeJob
	err  error
}

func newWriter(store *store) *writer {
	return &writer{store: store, jobs: make(chan []storeJob, 1), results: make(chan writeResult, 1)}
}

// run performs jobs until done is closed. A batch in progress is finished.
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
