// Command thistlewalk is the operators' client.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/operator"
)

const defaultNode = "http://127.0.0.1:7400"

func main() {
	command := &cli.Command{
		Name:  "thistlewalk",
		Usage: "ask and command a thistlewalk service",
		Description: `Examples:
  thistlewalk query 'show versions of policy dispatch'
  thistlewalk exec 'add policy dispatch version 1'
  thistlewalk exec --dry-run 'swap policy dispatch to 2'
  thistlewalk exec --file evening.tw
  thistlewalk top

The language is described in docs/LANGUAGE.md. The exit code is 0 for done, 2 not run,
3 unknown, 4 invalid, 5 conflict, 6 internal; docs/RESULT_CODES.md has the codes.`,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Value: []string{defaultNode}, Sources: cli.EnvVars("THISTLEWALK_NODE"), Usage: "base URL of a node; further ones are tried when it does not answer"},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("THISTLEWALK_TOKEN"), Usage: "operator's token; better given in the environment"},
			&cli.StringFlag{Name: "authority", Usage: "PEM file of the authority that https nodes' certificates come from"},
			&cli.StringFlag{Name: "output", Value: string(operator.FormatTable), Usage: "table or json"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "wait for a node"},
		},
		Commands: []*cli.Command{execCommand(), queryCommand(), shellCommand(), topCommand()},
	}
	err := command.Run(context.Background(), os.Args)
	var reported *reportedError
	switch {
	case err == nil:
	case errors.As(err, &reported):
		os.Exit(operator.ExitCode(reported.cause))
	default:
		fmt.Fprintln(os.Stderr, "thistlewalk:", err)
		os.Exit(1)
	}
}

// reportedError carries a failure that was written already.
type reportedError struct{ cause error }

// Error implements error.
func (reported *reportedError) Error() string { return reported.cause.Error() }

func newClient(command *cli.Command) (*operator.Client, error) {
	secure, err := trust(command.String("authority"))
	return operator.NewClient(command.StringSlice("node"), command.String("token"), command.Duration("timeout"), secure), err
}

// trust returns the TLS configuration that trusts an authority; an empty file trusts those of the system.
func trust(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("%s holds no certificate", file)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

func format(command *cli.Command) (operator.Format, error) {
	switch chosen := operator.Format(command.String("output")); chosen {
	case operator.FormatTable, operator.FormatJSON:
		return chosen, nil
	default:
		return "", fmt.Errorf("--output %q: want table or json", chosen)
	}
}

// carryOut sends a script and writes its outcome.
func carryOut(ctx context.Context, command *cli.Command, script operator.Script) error {
	chosen, err := format(command)
	if err != nil {
		return err
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	response, err := client.Execute(ctx, script)
	if err == nil {
		err = operator.Write(os.Stdout, chosen, response)
	}
	if err == nil {
		return nil
	}
	operator.Explain(os.Stderr, script.Text, err)
	return &reportedError{err}
}
