// Command thistlewalk is the command-line client for operators.
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

// reportedError wraps an error that has already been printed. The exit code of the process follows from its cause.
type reportedError struct{ cause error }

// Error implements error.
func (reported *reportedError) Error() string { return reported.cause.Error() }

func newClient(command *cli.Command) (*operator.Client, error) {
	config, err := tlsConfig(command.String("authority"))
	return operator.NewClient(command.StringSlice("node"), command.String("token"), command.Duration("timeout"), config), err
}

// tlsConfig returns a TLS configuration that trusts the certificate authorities of a PEM file. For an empty name it returns nil, which means the
// authorities of the system.
func tlsConfig(file string) (*tls.Config, error) {
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

func outputFormat(command *cli.Command) (operator.Format, error) {
	switch format := operator.Format(command.String("output")); format {
	case operator.FormatTable, operator.FormatJSON:
		return format, nil
	default:
		return "", fmt.Errorf("--output %q: want table or json", format)
	}
}

// execute sends a script to a node and prints the response, or explains the error. It returns a reportedError once the error has been printed.
func execute(ctx context.Context, command *cli.Command, script operator.Script) error {
	format, err := outputFormat(command)
	if err != nil {
		return err
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	response, err := client.Execute(ctx, script)
	if err == nil {
		err = operator.Write(os.Stdout, format, response)
	}
	if err == nil {
		return nil
	}
	operator.Explain(os.Stderr, script.Text, err)
	return &reportedError{err}
}
