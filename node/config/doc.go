// Package config changes contracts in the platform's store (Editor) and holds
// those in force in a process (Holder).
package config
