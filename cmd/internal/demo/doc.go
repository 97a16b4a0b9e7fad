// Package demo runs a small site in one process, sends it both users' work as
// callers would, and checks the promises from what the endpoints saw.
package demo
