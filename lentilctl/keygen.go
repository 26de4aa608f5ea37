package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"

	"github.com/google/subcommands"

	"lentilstage.dev/domain/ident"
)

// keygenCommand makes a key for an account or operator.
type keygenCommand struct{ app *app }

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// Name returns the command's name.
func (*keygenCommand) Name() string { return "keygen" }

// Synopsis returns a one-line description of the command.
func (*keygenCommand) Synopsis() string { return "print a new key and its hash" }

// Usage returns the command's usage text.
func (*keygenCommand) Usage() string {
	return "keygen\n\tPrints a new random key and the hash that the table or the settings hold.\n"
}

// SetFlags adds no flags.
func (*keygenCommand) SetFlags(*flag.FlagSet) {}

// Execute prints a key.
func (c *keygenCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.app.usageError("keygen takes no arguments")
	}
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return c.app.fail(err)
	}
	key := base64.RawURLEncoding.EncodeToString(raw)
	c.app.printf("Key:  %s\nHash: %s\n", key, ident.HashSecret(key))
	return subcommands.ExitSuccess
}
