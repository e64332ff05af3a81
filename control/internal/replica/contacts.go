package replica

import (
	"slices"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
)

const (
	// announcedLifetime is the time for which an announced address is kept. It is
	// several times announceInterval.
	announcedLifetime = 5 * time.Second
	// maxAnnounced limits the announced addresses. It is above raft.MaxMembers,
	// because members may have been replaced within announcedLifetime.
	maxAnnounced = 16
)

// contacts has the addresses at which a process outside the group asks for it.
// They are hints: only responses of members say who leads. It is safe for
// concurrent use.
type contacts struct {
	mu sync.Mutex
	// known has the leader and then the other members, as the leader last
	// reported them.
	known []string
	// stored is the content of the contacts file.
	stored []string
	// announced has the members that announced themselves, oldest first.
	announced []announcement
}

type announcement struct {
	address string
	at      time.Time
}

// set replaces the known members. The leader is asked first.
func (c *contacts) set(leader string, members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = nil
	for _, address := range append([]string{leader}, members...) {
		if address != "" && !slices.Contains(c.known, address) {
			c.known = append(c.known, address)
		}
	}
}

// addAnnounced stores an announced address or renews its time. The oldest one
// is dropped if there are too many.
func (c *contacts) addAnnounced(address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = slices.DeleteFunc(c.announced, func(a announcement) bool { return a.address == address })
	if len(c.announced) >= maxAnnounced {
		c.announced = c.announced[1:]
	}
	c.announced = append(c.announced, announcement{address, now})
}

// appendTo appends the addresses that the list does not have yet: the known
// members, then those that announced themselves, latest first.
func (c *contacts) appendTo(list []string, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(address string) {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	for _, address := range c.known {
		add(address)
	}
	for _, a := range slices.Backward(c.announced) {
		if now.Sub(a.at) <= announcedLifetime {
			add(a.address)
		}
	}
	return list
}

// restore sets the known members to those in the contacts file.
func (c *contacts) restore(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known, c.stored = addresses, addresses
}

// changed returns the known members if the contacts file has others.
func (c *contacts) changed() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	same := len(c.known) == len(c.stored)
	for _, address := range c.known {
		same = same && slices.Contains(c.stored, address)
	}
	return c.known, !same
}

// setStored sets the content of the contacts file.
func (c *contacts) setStored(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = addresses
}

// loadContacts reads the contacts file. The group is found without it if a seed
// knows a member or is told of one.
func (r *Replica) loadContacts() {
	addresses, err := disk.ReadContacts(r.config.Files)
	if err != nil {
		r.logger.Warn().Err(err).Msg("the contacts in the data folder cannot be read")
		return
	}
	r.contacts.restore(addresses)
}

// storeContacts writes the contacts file if other processes are members now.
// After a restart, the seeds alone may know no member.
func (r *Replica) storeContacts() {
	addresses, changed := r.contacts.changed()
	if !changed {
		return
	}
	if err := disk.WriteContacts(r.config.Files, addresses); err != nil {
		r.logger.Warn().Err(err).Msg("the contacts cannot be written to the data folder")
		return
	}
	r.contacts.setStored(addresses)
}
