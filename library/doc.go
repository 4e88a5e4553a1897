// Package library contains no code. Its subpackages are shared by two or more of
// the programs.
package library
