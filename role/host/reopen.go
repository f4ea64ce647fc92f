package host

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// dataFolderRetryInterval is the pause before a data folder that failed is opened again.
const dataFolderRetryInterval = time.Second

// reopenError is an end of the replica after which it must be opened again from what is
// on the disk: the data folder failed, or the group has removed the replica.
type reopenError struct {
	replica string // its ID, empty if the folder could not be opened
	cause   error
}

func (e *reopenError) Error() string { return "the replica must be opened again: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *reopenError) Unwrap() error { return e.cause }

// errRemoved means that the group removed the replica in the data folder.
var errRemoved = errors.New("the replica was removed from the group while it was down")

// RunControl runs a control process until ctx ends or a server fails. When the replica
// ends, because its data folder failed or the group has removed it, the process serves
// without a replica until the folder can be opened, and then with it again, as often as
// needed. The data of a removed replica is deleted first, and the process doesn't create a
// group any more.
func RunControl(ctx context.Context, settings *platform.Settings, reload <-chan struct{}) error {
	wasRemoved := false
	for {
		err := runControl(ctx, settings, false, reload)
		var reopen *reopenError
		if !errors.As(err, &reopen) || ctx.Err() != nil {
			return err
		}
		logs.For("control").Error().Str("replica", reopen.replica).Str("kind", string(fault.KindOf(reopen.cause))).Err(reopen.cause).
			Msg("The replica has stopped; the process serves without it until its data folder can be opened.")
		if errors.Is(err, errRemoved) {
			wasRemoved = true
			if err := wal.Clear(settings.Process.DataFolder, wal.Disk{}); err != nil {
				logs.For("control").Error().Err(err).Msg("The data folder of a removed replica can't be cleared.")
			}
		}
		if err := serveWithoutReplica(ctx, settings, reload); err != nil || ctx.Err() != nil {
			return err
		}
		settings = rereadSettings(settings)
		settings.Process.Found = settings.Process.Found && !wasRemoved
	}
}

func runControl(ctx context.Context, settings *platform.Settings, away replicaAway, reload <-chan struct{}) error {
	c, err := NewControl(settings, away)
	if err != nil {
		return err
	}
	return c.Run(ctx, reload)
}

// serveWithoutReplica runs the control process without its replica until the data folder
// can be opened or ctx ends. Its record still says that it votes, so that others wait for
// its replica before they create a group.
func serveWithoutReplica(ctx context.Context, settings *platform.Settings, reload <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		awaitDataFolder(ctx, settings.Process.DataFolder)
	}()
	return runControl(ctx, settings, true, reload)
}

// awaitDataFolder returns when the data folder could be opened, or when ctx ends.
func awaitDataFolder(ctx context.Context, folder string) {
	began := monotonic.Now()
	logger := logs.For("control")
	for tries := 1; wait.For(ctx, dataFolderRetryInterval); tries++ {
		log, state, err := wal.Open(folder, wal.Disk{}, rand.Reader)
		if err == nil {
			_ = log.Close() // nothing was written since
			logger.Info().Str("replica", state.ID).Dur("waited", monotonic.Since(began)).Int("tries", tries).Msg("The data folder can be opened; the replica starts again.")
			return
		}
		logger.RateLimitedWarn("folder").Str("kind", string(fault.KindOf(err))).Dur("waited", monotonic.Since(began)).Int("tries", tries).Err(err).
			Msg("The replica waits until its data folder can be opened.")
	}
}

// rereadSettings reads the settings file again. It returns the current settings if
// the file can't be read.
func rereadSettings(current *platform.Settings) *platform.Settings {
	next, err := platform.ReadSettings()
	if err != nil {
		logs.For("settings").Error().Err(err).Msg("The settings can't be read again; the earlier ones stay in force.")
		return current
	}
	next.Process.MetricsPort = current.Process.MetricsPort // given on the command line
	return next
}
