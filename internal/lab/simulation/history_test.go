package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// The configuration is modelled as a counter: a command that was done returns a revision that no other got and that is
// greater than every revision returned before the command was sent; one that was not done changes nothing; one without
// a clear answer may have taken effect.
type commandOutput struct {
	done     bool
	unclear  bool
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
			Output: commandOutput{done: command.Code == result.Done, unclear: command.Code.Class() == result.ClassUnknown, revision: command.Revision},
		})
	}
	return operations
}

type failer interface {
	Fatalf(format string, arguments ...any)
}

// checkCommands fails when no order of the commands explains the revisions that their senders were told.
func checkCommands(t failer, commands []CommandRecord) {
	if !porcupine.CheckOperations(configurationModel, operationsOf(commands)) {
		t.Fatalf("the revisions told are not those of one growing configuration: %+v", commands)
	}
}

// The check itself must be able to fail: a revision told twice, and one that went back.
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
