package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// commandOutput is the answer to a command in the linearizability check, which models the configuration as a counter. A
// completed command returns a revision greater than each revision returned before the command was sent, and no two
// commands return the same revision. Any other command leaves the counter as it is, also if its outcome is unknown:
// revisions may be skipped, so it does not matter whether the command took effect.
type commandOutput struct {
	done     bool
	unknown  bool
	revision uint64
}

var configurationModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		revision := state.(uint64)
		answer := output.(commandOutput)
		switch {
		case answer.done:
			return answer.revision > revision, answer.revision
		default:
			return true, revision
		}
	},
}

func operationsOf(commands []CommandRecord) []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(commands))
	for index, command := range commands {
		operations = append(operations, porcupine.Operation{
			ClientId: index, Input: command.Text, Call: command.Sent.UnixNano(), Return: command.Answered.UnixNano() + 1,
			Output: commandOutput{done: command.Code == result.Done, unknown: command.Code.Class() == result.ClassUnknown, revision: command.Revision},
		})
	}
	return operations
}

type failer interface {
	Fatalf(format string, arguments ...any)
}

// checkCommands fails the test if no sequential order of the commands explains the revisions that they returned.
func checkCommands(t failer, commands []CommandRecord) {
	if !porcupine.CheckOperations(configurationModel, operationsOf(commands)) {
		t.Fatalf("command history is not linearizable: %+v", commands)
	}
}

// Guards against a check that accepts every history: a repeated revision and a decreasing revision must be rejected.
func TestCommandCheckCanFail(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	good := []CommandRecord{
		{Sent: at(1), Answered: at(2), Code: result.Done, Revision: 3},
		{Sent: at(1), Answered: at(4), Code: result.Done, Revision: 2},
		{Sent: at(5), Answered: at(6), Code: result.Done, Revision: 4},
	}
	must.True(t, porcupine.CheckOperations(configurationModel, operationsOf(good)))
	twice := append([]CommandRecord{{Sent: at(1), Answered: at(9), Code: result.Done, Revision: 3}}, good...)
	must.False(t, porcupine.CheckOperations(configurationModel, operationsOf(twice)))
	back := append(good[:2:2], CommandRecord{Sent: at(5), Answered: at(6), Code: result.Done, Revision: 1})
	must.False(t, porcupine.CheckOperations(configurationModel, operationsOf(back)))
}
