// Command damaskctl is the operators' tool of the proxy fleet.
package main

func main() {}
