// Command health measures how fast gray endpoints leave service and how often healthy ones do.
//
// It feeds the carriers and the judge of package health, and two baselines, with the
// same made traffic in virtual time. All draws come from seeds, so that a run gives the
// same figures on any machine, but for the nanoseconds of "cost".
//
//	go run ./internal/measure/health detection --seeds 100
//	go run ./internal/measure/health false
//	go run ./internal/measure/health curves --out docs/measurements
//	go run ./internal/measure/health cost
package main
