// Command damaskcove is an entry instance of the proxy fleet.
package main

func main() {}
