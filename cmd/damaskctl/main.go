// Command damaskctl is the operators' tool of the proxy fleet.
package main

import "os"

func main() {
	if err := demoCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
