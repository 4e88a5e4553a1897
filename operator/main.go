// Command operator is started by hand or by the platform.
package main

func main() {}
