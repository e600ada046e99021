// Our own settings for installations whose terminals reach the balancer by their own addresses. What isn't set here
// is as the schema says: bin/oatctl edge show deploy/edge.cue prints all of it.
//
//	bin/oatctl edge compile deploy/edge.cue -o edge.json
//	bin/oatloft serve --edge edge.json
//
// Off on msimbo-ke-prod: terminals come through a front there (docs/operators/admission.md says what was measured).
admission: {
	address: {
		max_connections: 16
		max_silent:      8
		new_per_second:  10
		exempt: []
	}
	reserve: known_share: 0.25
}
