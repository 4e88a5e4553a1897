// Package library holds nothing itself: its folders are what two or more of
// the programs share.
package library
