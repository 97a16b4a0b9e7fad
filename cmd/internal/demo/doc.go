// Package demo runs a small site in one process, submits the load of both users as
// callers would, and checks the guarantees against what the endpoints recorded.
package demo
