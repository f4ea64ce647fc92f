// Command apricotspoke-control is not built yet.
package main

func main() {}
