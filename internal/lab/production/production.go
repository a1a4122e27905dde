// Package production builds the program that runs in production from the repository's history, so that it can run alongside the program built from
// the current sources.
package production

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// deployFile contains the commit that runs in production. programFolder is the folder of the program's main package.
const (
	deployFile    = "deploy/system.toml"
	programFolder = "./cmd/thistlewalk-rollout"
)

// ErrNoHistory is returned if the repository's history does not contain the commit that runs in production, as in a shallow clone.
var ErrNoHistory = errors.New("the repository's history does not contain the commit that runs in production")

// Build builds the program that runs in production into the folder and returns its path. root is the root of the repository.
func Build(ctx context.Context, root, folder string) (string, error) {
	commit, err := Commit(root)
	if err != nil {
		return "", err
	}
	if output, err := command(ctx, root, "git", "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil {
		return "", errors.Mark(errors.Wrapf(err, "commit %s: %s", commit, output), ErrNoHistory)
	}
	sources := filepath.Join(folder, "production-sources")
	if err := os.MkdirAll(sources, 0o755); err != nil {
		return "", errors.Wrap(err, "create a folder for the sources")
	}
	archive := filepath.Join(folder, "production.tar")
	if output, err := command(ctx, root, "git", "archive", "--format=tar", "--output="+archive, commit, "--", ".", ":!journal").CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "archive the sources of %s: %s", commit, output)
	}
	if output, err := command(ctx, sources, "tar", "-xf", archive).CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "unpack the sources of %s: %s", commit, output)
	}
	program := filepath.Join(folder, "production-rollout")
	if output, err := command(ctx, sources, "go", "build", "-o", program, programFolder).CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build %s: %s", commit, output)
	}
	return program, nil
}

func command(ctx context.Context, folder, name string, arguments ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, name, arguments...)
	cmd.Dir = folder
	return cmd
}

// Commit returns the commit that runs in production according to the deploy file.
func Commit(root string) (string, error) {
	file, err := os.Open(filepath.Join(root, deployFile))
	if err != nil {
		return "", errors.Wrap(err, "open the deploy file")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		key, value, found := strings.Cut(lines.Text(), "=")
		if found && strings.TrimSpace(key) == "production" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	if err := lines.Err(); err != nil {
		return "", errors.Wrap(err, "read the deploy file")
	}
	return "", errors.Newf("%s names no commit that runs in production", deployFile)
}
