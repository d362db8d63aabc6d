package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/signature"
)

// keyCommand returns the command for operators' key files. It does not call a node.
func keyCommand() *cli.Command {
	return &cli.Command{Name: "key", Usage: "generate and show operators' keys", Commands: []*cli.Command{
		{Name: "new", Usage: "generate a key for the operator NAME and write it to FILE", ArgsUsage: "NAME FILE",
			Action: newKey},
		{Name: "show", Usage: "print the public key in FILE, as an item of operator_keys", ArgsUsage: "FILE",
			Action: showKey},
	}}
}

func newKey(_ context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "NAME", "FILE")
	if err != nil {
		return errs.Pass(err, "key")
	}
	key, err := signature.New(args[0])
	if err != nil {
		return errs.Pass(err, "key")
	}
	if err := key.Save(args[1]); err != nil {
		return errs.Pass(err, "key")
	}
	return errs.Pass(printPublicKey(key), "key")
}

func showKey(_ context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "FILE")
	if err != nil {
		return errs.Pass(err, "key")
	}
	key, err := signature.Load(args[0])
	if err != nil {
		return errs.Pass(err, "key")
	}
	return errs.Pass(printPublicKey(key), "key")
}

func printPublicKey(key signature.Key) error {
	return errs.Pass(printJSON(map[string]string{"name": key.Name, "key": key.Public()}), "key")
}
