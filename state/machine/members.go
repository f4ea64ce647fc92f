package machine

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// memberChanges returns the members that were added, changed or removed, the last
// with Removed set.
func memberChanges(before, after []*wire.Member) []*wire.Member {
	old := make(map[string]*wire.Member, len(before))
	for _, member := range before {
		old[member.Id] = member
	}
	var changes []*wire.Member
	for _, member := range after {
		if member.Removed {
			continue
		}
		if have, ok := old[member.Id]; !ok || !proto.Equal(have, member) {
			changes = append(changes, proto.CloneOf(member))
		}
		delete(old, member.Id)
	}
	for _, member := range before {
		if _, gone := old[member.Id]; gone {
			changes = append(changes, &wire.Member{Id: member.Id, Address: member.Address, Removed: true})
		}
	}
	return changes
}
