// Command apricotspoke-agent is not built yet.
package main

func main() {}
