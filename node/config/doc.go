// Package config changes contracts in the platform's store (Editor) and holds the
// contracts in force in a process (Holder).
package config
