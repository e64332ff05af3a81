package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// formRetry is the pause between two attempts to ask the initial members.
const formRetry = 250 * time.Millisecond

// memberID returns the id from the settings, or for a member that chooses its
// own that of its data folder: an emptied disk must make a new member.
func memberID(config Config, identity *disk.Identity, folder uint64) uint64 {
	switch {
	case config.MemberID != 0:
		return config.MemberID
	case identity != nil:
		return identity.MemberID
	case config.Discovery.Bootstrap:
		for _, m := range config.Initial {
			if m.Address == config.Address {
				return m.Id
			}
		}
	}
	return folder
}

// checkIdentity compares the data folder with the settings.
func checkIdentity(config Config, identity *disk.Identity) error {
	if identity == nil || identity.GroupID == config.GroupID && identity.MemberID == config.MemberID {
		return nil
	}
	return errors.Errorf("the data folder belongs to member %d of group %q, the settings name member %d of group %q",
		identity.MemberID, identity.GroupID, config.MemberID, config.GroupID)
}

func newFolderID() (uint64, error) {
	for {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return 0, fmt.Errorf("random folder id: %w", err)
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id, nil
		}
	}
}

// form gives a folder without log its first log. A member with an empty folder
// cannot tell whether it starts for the first time or lost its disk. Therefore
// each initial member must answer before the group is formed: one that knows
// this member id with another folder id shows that the disk was lost.
func (r *Replica) form(ctx context.Context) (raft.StoredState, error) {
	var stored raft.StoredState
	if r.config.isInitial() {
		members, err := r.gather(ctx)
		if err != nil {
			return stored, err
		}
		if members != nil {
			if stored, err = raft.Bootstrap(members); err != nil {
				return stored, fmt.Errorf("initial members: %w", err)
			}
		}
	}
	if err := r.disk.CreateLog(stored); err != nil {
		return stored, fmt.Errorf("form the log: %w", err)
	}
	r.logger.Info().Int("initialMembers", len(r.config.Initial)).Msg("data folder is ready for a new log")
	return stored, nil
}

// gather returns the initial members with their folder ids, or nil where the
// group exists and knows this member: the leader then sends the log.
func (r *Replica) gather(ctx context.Context) ([]*wirev1.Member, error) {
	folder := r.disk.Identity().FolderID
	members := make([]*wirev1.Member, len(r.config.Initial))
	for i, m := range r.config.Initial {
		members[i] = proto.Clone(m).(*wirev1.Member)
		if m.Id == r.config.MemberID {
			members[i].Folder = folder
		}
	}
	for {
		missing := 0
		for _, m := range members {
			if m.Id == r.config.MemberID {
				continue
			}
			response, err := r.transport.Form(ctx, m.Address, &wirev1.FormRequest{From: r.config.MemberID, Folder: folder})
			if err == nil && response.Id != m.Id {
				err = errors.Errorf("member at %s has id %d, the initial members list it as %d", m.Address, response.Id, m.Id)
			}
			if err != nil {
				r.logger.Info().Uint64("member", m.Id).Err(err).Msg("waiting for an initial member")
				missing++
				continue
			}
			if response.Formed != nil {
				known, err := r.findSelf(response.Formed, folder)
				if known || err != nil {
					return nil, err
				}
				missing++
				continue
			}
			m.Folder = response.Folder
		}
		if missing == 0 {
			return members, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(formRetry):
		}
	}
}

// findSelf reports whether an existing group accepts this member with its
// folder, now or once it is added. The error says that it knows another folder
// or removed the member.
func (r *Replica) findSelf(formed *wirev1.Membership, folder uint64) (bool, error) {
	if len(formed.Members) == 0 {
		// That member has no log from the leader yet.
		return false, nil
	}
	if slices.Contains(formed.RemovedIds, r.config.MemberID) {
		return false, &HaltedError{Reason: raft.HaltRemoved}
	}
	if m := findMember(formed, r.config.MemberID); m != nil && m.Folder != 0 && m.Folder != folder {
		return false, &HaltedError{Reason: raft.HaltOtherFolder}
	}
	return true, nil
}

// HandleForm tells a member without a log about this one. It is called by the
// transport.
func (r *Replica) HandleForm(*wirev1.FormRequest) (*wirev1.FormResponse, error) {
	identity := r.identity.Load()
	response := &wirev1.FormResponse{Id: identity.MemberID, Folder: identity.FolderID}
	if identity.Formed {
		response.Formed = &wirev1.Membership{}
		if membership := r.membership.Load(); membership != nil {
			response.Formed = membership
		}
	}
	return response, nil
}
