// Command apricotspoke-fakeendpoint is not built yet.
package main

func main() {}
