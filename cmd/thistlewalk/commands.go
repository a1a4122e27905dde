package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/chzyer/readline"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/operator"
)

func execCommand() *cli.Command {
	return &cli.Command{
		Name:      "exec",
		Usage:     "carry out a script of commands and queries",
		ArgsUsage: "'STATEMENT; …'",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "file with the script; - for standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would change, and change nothing"},
			&cli.Uint64Flag{Name: "if-revision", Usage: "refuse when what the script names was changed after this revision"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			text, err := scriptText(command)
			if err != nil {
				return err
			}
			return execute(ctx, command, operator.Script{Text: text, BaseRevision: command.Uint64("if-revision"), DryRun: command.Bool("dry-run")})
		},
	}
}

func scriptText(command *cli.Command) (string, error) {
	file := command.String("file")
	switch {
	case file == "-":
		content, err := io.ReadAll(os.Stdin)
		return string(content), err
	case file != "":
		content, err := os.ReadFile(file)
		return string(content), err
	case command.Args().Len() == 0:
		return "", errors.New("no script given: pass it as an argument or with --file")
	default:
		return strings.Join(command.Args().Slice(), " "), nil
	}
}

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "carry out queries",
		ArgsUsage: "'show …'",
		Action: func(ctx context.Context, command *cli.Command) error {
			text, err := scriptText(command)
			if err != nil {
				return err
			}
			return execute(ctx, command, operator.Script{Text: text})
		},
	}
}

const historyFile = ".thistlewalk_history"

func shellCommand() *cli.Command {
	return &cli.Command{
		Name:  "shell",
		Usage: "read statements one line at a time, with history",
		Action: func(ctx context.Context, command *cli.Command) error {
			history := ""
			if home, err := os.UserHomeDir(); err == nil {
				history = filepath.Join(home, historyFile)
			}
			lines, err := readline.NewEx(&readline.Config{Prompt: "thistlewalk> ", HistoryFile: history, InterruptPrompt: "^C", EOFPrompt: "exit"})
			if err != nil {
				return err
			}
			defer lines.Close()
			for {
				line, err := lines.Readline()
				if errors.Is(err, readline.ErrInterrupt) {
					continue
				}
				if err != nil || strings.TrimSpace(line) == "exit" {
					return nil
				}
				var reported *reportedError
				if err := execute(ctx, command, operator.Script{Text: line}); err != nil && !errors.As(err, &reported) {
					return err
				}
			}
		},
	}
}

// topQuery is the query whose result the top command shows.
const topQuery = "show configuration; show policies; show staleness; show steps order by created descending limit 10; show replicas; show nodes"

func topCommand() *cli.Command {
	return &cli.Command{
		Name:  "top",
		Usage: "show policies, staleness, steps, replicas and nodes, again and again",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "interval", Value: 2 * time.Second, Usage: "time between two views"},
			&cli.IntFlag{Name: "count", Usage: "number of views; 0 for no end"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			const clearScreen = "\x1b[H\x1b[2J"
			client, err := newClient(command)
			if err != nil {
				return err
			}
			for shown := 0; command.Int("count") == 0 || shown < command.Int("count"); shown++ {
				if shown > 0 {
					time.Sleep(command.Duration("interval"))
				}
				response, err := client.Execute(ctx, operator.Script{Text: topQuery})
				if command.Int("count") != 1 {
					fmt.Print(clearScreen)
				}
				fmt.Println(time.Now().Format(time.RFC3339))
				if err == nil {
					err = operator.Write(os.Stdout, operator.FormatTable, response)
				}
				if err != nil {
					operator.Explain(os.Stdout, topQuery, err)
				}
			}
			return nil
		},
	}
}
