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

// formRetryInterval is the pause between two rounds of FormRequests to the
// other initial members.
const formRetryInterval = 250 * time.Millisecond

// memberID returns the member id from the settings, or the one in the data
// folder if the settings have none. If the data folder is empty too, a
// bootstrap gives the member the id under which Config.Initial lists its
// address. Without a bootstrap, or if the address is not listed, the random
// folder id becomes the member id, so that a member with an emptied disk
// becomes a new member.
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

// checkIdentity returns an error if the data folder belongs to another member
// than the settings name.
func checkIdentity(config Config, identity *disk.Identity) error {
	if identity == nil || identity.GroupID == config.GroupID && identity.MemberID == config.MemberID {
		return nil
	}
	return errors.Errorf("the data folder belongs to member %d of group %q, the settings name member %d of group %q",
		identity.MemberID, identity.GroupID, config.MemberID, config.GroupID)
}

// newFolderID returns a random id other than 0, which means an unknown folder.
func newFolderID() (uint64, error) {
	for {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return 0, fmt.Errorf("generate random folder id: %w", err)
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id, nil
		}
	}
}

// createFirstLog writes the first log of a data folder. The log has the initial
// members if the group is created now. It is empty if the group exists already
// or if this member is not an initial one.
//
// A member with an empty folder cannot tell whether it starts for the first
// time or has lost its disk. Therefore it creates the group only after other
// initial members have answered that they have no log: all of them or, with
// Discovery, enough for a majority. Two majorities have a member in common, and
// one that lost its disk starts without Bootstrap and gets another id. One answer
// from a member of an existing group is enough to end the wait. If that group
// knows this member's id with another folder id, the disk was lost.
//
// With Discovery, the log has the initial members also if one of them has
// created the group already. That one may lose its disk before it has sent its
// log to anyone, and no other member would then have a log.
func (r *Replica) createFirstLog(ctx context.Context) (raft.StoredState, error) {
	var stored raft.StoredState
	if r.config.isInitial() {
		members, err := r.collectInitialMembers(ctx)
		if err != nil {
			return stored, err
		}
		if members != nil {
			if stored, err = raft.Bootstrap(r.config.MemberID, members); err != nil {
				return stored, fmt.Errorf("bootstrap with the initial members: %w", err)
			}
		}
	}
	if err := r.disk.CreateLog(stored); err != nil {
		return stored, fmt.Errorf("create log: %w", err)
	}
	r.logger.Info().Int("initialMembers", len(r.config.Initial)).Bool("group", len(stored.Entries) > 0).Msg("created the first log of the data folder")
	return stored, nil
}

// collectInitialMembers asks the other initial members until enough of them
// have answered, or until one of them answers that the group exists already and
// the group accepts this member. It returns the initial members with the folder
// ids in the last answers. Nil means that the leader sends the log.
func (r *Replica) collectInitialMembers(ctx context.Context) ([]*wirev1.Member, error) {
	var majoritySince time.Time
	for {
		members, exists, err := r.askInitialMembers(ctx)
		if err != nil {
			return nil, err
		}
		answered := 0
		for _, m := range members {
			if m.Folder != 0 {
				answered++
			}
		}
		now := r.config.Clock.Now()
		switch {
		case exists && (r.config.Discovery == nil || answered <= len(members)/2):
			return nil, nil
		case exists, answered == len(members):
			return members, nil
		case r.config.Discovery == nil || answered <= len(members)/2:
			majoritySince = time.Time{}
		case majoritySince.IsZero():
			majoritySince = now
		case now.Sub(majoritySince) >= r.config.Discovery.FormDelay:
			r.logger.Warn().Int("answered", answered).Int("initialMembers", len(members)).Msg("creating the group without answers of all initial members")
			return members, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(formRetryInterval):
		}
	}
}

// askInitialMembers asks each other initial member once. It returns the initial
// members, with the folder ids of those that have answered that they have no
// log, or that the group exists and accepts this member.
func (r *Replica) askInitialMembers(ctx context.Context) (members []*wirev1.Member, exists bool, err error) {
	folder := r.disk.Identity().FolderID
	for _, initial := range r.config.Initial {
		m := proto.Clone(initial).(*wirev1.Member)
		members = append(members, m)
		if m.Id == r.config.MemberID {
			m.Folder = folder
			continue
		}
		response, err := r.transport.Form(ctx, m.Address, &wirev1.FormRequest{From: r.config.MemberID, Folder: folder})
		if err == nil && response.Id != m.Id {
			err = errors.Errorf("member at %s has id %d, but the initial members list it with id %d", m.Address, response.Id, m.Id)
		}
		if err != nil {
			r.logger.Info().Uint64("member", m.Id).Err(err).Msg("waiting for an initial member")
			continue
		}
		accepted := false
		if response.Formed != nil {
			if accepted, err = r.acceptsThisMember(response.Formed, folder); err != nil {
				return nil, false, err
			}
			exists = exists || accepted
		}
		if response.Formed == nil || accepted {
			m.Folder = response.Folder
		}
	}
	return members, exists, nil
}

// acceptsThisMember reports whether an existing group with the membership
// formed accepts this member with its data folder. It also does if the
// membership does not have the member yet, or has it with the folder id 0,
// which means that the folder is not known yet. The result is false if formed
// is empty. The error is a *HaltedError if the group knows the member with
// another folder id or has removed the member.
func (r *Replica) acceptsThisMember(formed *wirev1.Membership, folder uint64) (bool, error) {
	if len(formed.Members) == 0 {
		// The answering member has a log but no membership, because it has not
		// received the entries from the leader yet. See HandleForm.
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

// HandleForm answers a member without a log. The response has this member's id
// and folder id. Formed is set if this member has a log: to the membership, or
// to an empty Membership if the log has none yet. The transport calls
// HandleForm.
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
