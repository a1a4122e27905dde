package settings

import (
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const good = `
node: {id: n1, zone: a, api: "127.0.0.1:1", control: "127.0.0.1:2"}
platform: {key_value: "http://127.0.0.1:3", machines: "http://127.0.0.1:4", scorer: "http://127.0.0.1:5"}
`

func TestGoodSettingsKeepDefaultsAndFlagsWin(t *testing.T) {
	loaded, err := Parse("f.yaml", []byte(good), []Override{{Key: "node.zone", Value: "b"}})
	must.NoError(t, err)
	must.Eq(t, "b", loaded.Node.Zone)
	must.Eq(t, Defaults().Membership, loaded.Membership)
}

func TestAllProblemsAreNamedAtOnce(t *testing.T) {
	_, err := Parse("f.yaml", []byte(`
node: {id: n1, zone: 7, api: "localhost:1", control: "127.0.0.1:2", colour: red}
admission: {concurrency: 0, retry_share: much}
rollout: {stall_time: 5, routing: best}
nonsense: 1
`), []Override{{Key: "platform.key_value", Value: "ftp://x"}})
	var problems Problems
	must.True(t, errors.As(err, &problems))
	text := make(map[string]string)
	for _, problem := range problems {
		text[problem.Key] = problem.Source + ": " + problem.Message
	}
	must.MapLen(t, 11, text, must.Sprint(err))
	must.StrContains(t, text["node.zone"], "want string, got 7")
	must.StrContains(t, text["node.api"], "want IP:port")
	must.StrContains(t, text["node.colour"], "unknown key; allowed are node.api")
	must.StrContains(t, text["admission.concurrency"], "want at least 1, got 0")
	must.StrContains(t, text["admission.retry_share"], "want float64")
	must.StrContains(t, text["rollout.stall_time"], "want a duration")
	must.StrContains(t, text["rollout.routing"], "want one of scored round-robin least-reported")
	must.StrContains(t, text["platform.key_value"], "flag: want a URL")
	must.StrContains(t, text["platform.machines"], "default: must be set")
	must.StrContains(t, text["nonsense"], "unknown key; allowed are admission")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("node: []"))
	f.Fuzz(func(t *testing.T, content []byte) { _, _ = Parse("f", content, nil) })
}

func TestPageOfSettingsAgreesWithCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	must.NoError(t, err)
	must.StrContains(t, string(page), WriteTable(), must.Sprint("run 'thistlewalkd settings' and put its table into the page"))
	for _, row := range Rows() {
		must.NotEq(t, "", row.Help, must.Sprint(row.Key))
	}
}
