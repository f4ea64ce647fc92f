// Command apricotspoke-entry is not built yet.
package main

func main() {}
