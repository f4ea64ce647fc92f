// Command apricotspokectl is not built yet.
package main

func main() {}
