// Command savoryreel is the one binary of the system: each subcommand is a
// daemon or a client over the packages of this module.
package main

func main() {}
