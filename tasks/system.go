package tasks

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
)

// System holds the tasks of one process.
type System struct {
	actors *actor.ActorSystem
	log    *slog.Logger
}

// NewSystem returns an empty system. Failures of tasks are logged to log.
func NewSystem(log *slog.Logger) *System {
	quiet := slog.New(levelHandler{Handler: log.Handler(), minLevel: slog.LevelWarn})
	actors := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return quiet
	}))
	return &System{actors: actors, log: log}
}

// Shutdown stops the system. The owners of its tasks must have stopped them
// before.
func (s *System) Shutdown() { s.actors.Shutdown() }
