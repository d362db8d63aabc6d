package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/signature"
)

// addrFlag returns the flag for the address of a node of the policy deployment.
func addrFlag() cli.Flag {
	return &cli.StringFlag{Name: "addr", Usage: "`IP:PORT` of any control-plane node", Required: true}
}

// jobsAddrFlag returns the flag for the control address of a control-plane node of the jobs deployment. The node serves
// operators at that address, and other nodes at a different one.
func jobsAddrFlag() cli.Flag {
	return &cli.StringFlag{Name: "addr", Usage: "control `IP:PORT` of any control-plane node",
		Required: true}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the response as JSON"}
}

func keyFlag() cli.Flag {
	return &cli.StringFlag{Name: "key", Usage: "key `FILE` of the operator who signs"}
}

func orderFlag() cli.Flag {
	return &cli.StringFlag{Name: "order",
		Usage: "`ID` of the order (default: random); orders with the same ID are carried out once"}
}

// queryFlags returns the flags of a command that queries a node, and the flags in more.
func queryFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{addrFlag(), jsonFlag()}, more...)
}

// signedOrderFlags returns the flags of a command that sends a signed order, and the flags in more.
func signedOrderFlags(more ...cli.Flag) []cli.Flag {
	return queryFlags(append([]cli.Flag{keyFlag(), orderFlag()}, more...)...)
}

// exactArgs returns the arguments. It fails with errs.Settings if there are not as many of them as names.
func exactArgs(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.NArg() != len(names) {
		return nil, errs.Field(errs.Settings, strings.Join(names, " "), "number of arguments must be %d, is %d",
			len(names), cmd.NArg())
	}
	return cmd.Args().Slice(), nil
}

// readFileArg reads the file named by the only argument; - is standard input.
func readFileArg(cmd *cli.Command) ([]byte, error) {
	args, err := exactArgs(cmd, "FILE")
	if err != nil {
		return nil, errs.Pass(err, "file")
	}
	if args[0] == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errs.Wrap(err, errs.Disk, "standard input")
	}
	data, err := os.ReadFile(args[0])
	return data, errs.Wrap(err, errs.Disk, "file")
}

// orderID returns the value of --order, or a random ID, which it prints on standard error so that the order can be sent
// again.
func orderID(cmd *cli.Command) string {
	id := cmd.String("order")
	if id == "" {
		id = rand.Text()[:16]
		fmt.Fprintln(os.Stderr, "order", id)
	}
	return id
}

// operator signs orders. The zero value has no key and does not sign, for a store that has no operators yet.
type operator struct{ key *signature.Key }

// loadOperator reads the key file named by --key; without the flag it returns the zero operator.
func loadOperator(cmd *cli.Command) (operator, error) {
	if !cmd.IsSet("key") {
		return operator{}, nil
	}
	key, err := signature.Load(cmd.String("key"))
	return operator{&key}, errs.Pass(err, "key")
}

// sign returns the operator's name and its signature of text, or two empty strings without a key.
func (o operator) sign(text string) (by, sig string) {
	if o.key == nil {
		return "", ""
	}
	return o.key.Name, o.key.Sign(text)
}
