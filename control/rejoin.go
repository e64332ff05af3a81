package control

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
)

// rejoinPause keeps a member that the group removes again and again from
// spending its processor time on that.
const rejoinPause = 200 * time.Millisecond

// Serve runs a member of a group that finds its members itself. Where the group
// has removed the member, or its data folder is damaged, the folder is emptied
// and the process joins as a new member: nothing that the old one knew is used
// again. Started is called with each member before it runs. It returns as Run
// does.
func Serve(ctx context.Context, config Config, started func(*Member)) error {
	if config.Formation == nil {
		return errors.New("control: a group without formation has no way to rejoin")
	}
	for {
		m, err := New(config)
		var damage *disk.DamageError
		if errors.As(err, &damage) {
			if err = giveUpFolder(config, err); err != nil {
				return err
			}
			config.Formation = config.Formation.rejoining()
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
		if err = giveUpFolder(config, err); err != nil {
			return err
		}
		config.Formation = config.Formation.rejoining()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rejoinPause):
		}
	}
}

// rejoining returns the formation of a member that must not form a group.
func (f *Formation) rejoining() *Formation {
	next := *f
	next.Bootstrap = false
	return &next
}

func giveUpFolder(config Config, why error) error {
	config.Logger.Error().Err(why).Str("folder", config.DataFolder).Msg("data folder is given up; joining as a new member")
	files, err := disk.OpenOrCreateFolder(config.DataFolder)
	if err != nil {
		return fmt.Errorf("give up the data folder: %w", err)
	}
	if err := disk.Erase(files); err != nil {
		return fmt.Errorf("give up the data folder: %w", err)
	}
	return nil
}
