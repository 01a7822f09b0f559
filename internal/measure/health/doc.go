// Command health measures how fast endpoints with gray faults are taken out of service, and how
// often healthy ones are.
//
// It runs the carriers and the evaluator of package health, and two baselines, on the same
// synthetic traffic in virtual time. All random values come from seeds, so that a run gives the
// same figures on every machine, except for the nanoseconds of "cost".
//
//	go run ./internal/measure/health detection --seeds 100
//	go run ./internal/measure/health false
//	go run ./internal/measure/health curves --out docs/measurements
//	go run ./internal/measure/health cost
package main
