package control

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
)

// rejoinDelay is the pause before a removed member joins again. It limits the
// processor time of a member that the group removes repeatedly.
const rejoinDelay = 200 * time.Millisecond

// Serve runs a member of a group that finds its members itself. If the group
// has removed the member, or its data folder is damaged, Serve erases the
// folder and joins as a new member, which uses no state of the old one. It
// calls started with each member before that member runs. It returns as Run
// does.
func Serve(ctx context.Context, config Config, started func(*Member)) error {
	if config.Discovery == nil {
		return errors.New("control: Serve without Discovery: the group cannot add a member whose data folder was erased")
	}
	for {
		m, err := New(config)
		var damage *disk.DamageError
		if errors.As(err, &damage) {
			if err = eraseDataFolder(config, err); err != nil {
				return err
			}
			config.Discovery = config.Discovery.withoutBootstrap()
			continue
		}
		if err != nil {
			return err
		}
		started(m)
		err = m.Run(ctx)
		var halted *replica.HaltedError
		if ctx.Err() != nil || !errors.As(err, &halted) {
			return err
		}
		if err = eraseDataFolder(config, err); err != nil {
			return err
		}
		config.Discovery = config.Discovery.withoutBootstrap()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rejoinDelay):
		}
	}
}

// withoutBootstrap returns a copy for a member that must join a group instead
// of forming one.
func (f *Discovery) withoutBootstrap() *Discovery {
	next := *f
	next.Bootstrap = false
	return &next
}

// eraseDataFolder erases the data folder and logs the cause.
func eraseDataFolder(config Config, cause error) error {
	config.Logger.Error().Err(cause).Str("folder", config.DataFolder).Msg("data folder is given up; joining as a new member")
	files, err := disk.OpenOrCreateFolder(config.DataFolder)
	if err != nil {
		return fmt.Errorf("erase data folder: %w", err)
	}
	if err := disk.Erase(files); err != nil {
		return fmt.Errorf("erase data folder: %w", err)
	}
	return nil
}
