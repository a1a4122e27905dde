package production_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/production"
)

// Guards against a deploy file in this repository that contains no full commit hash.
func TestCommitOfThisRepository(t *testing.T) {
	commit, err := production.Commit(filepath.Join("..", "..", ".."))
	must.NoError(t, err)
	must.Eq(t, 40, len(commit))
}

// Guards against a missing commit being reported as a failed build.
func TestHistoryWithoutTheCommit(t *testing.T) {
	root := t.TempDir()
	must.NoError(t, exec.CommandContext(t.Context(), "git", "init", "--quiet", root).Run())
	must.NoError(t, os.MkdirAll(filepath.Join(root, "deploy"), 0o755))
	deploy := filepath.Join(root, "deploy", "system.toml")
	must.NoError(t, os.WriteFile(deploy, []byte("build = \"x\"\n"), 0o600))
	_, err := production.Build(t.Context(), root, t.TempDir())
	must.ErrorContains(t, err, "names no commit")
	must.NoError(t, os.WriteFile(deploy, []byte("production = \"0123456789012345678901234567890123456789\"\n"), 0o600))
	_, err = production.Build(t.Context(), root, t.TempDir())
	must.True(t, errors.Is(err, production.ErrNoHistory))
}
