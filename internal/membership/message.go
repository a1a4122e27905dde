package membership

import controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"

// toMessage encodes a member for transmission.
func toMessage(member Member) *controlv1.Member {
	return &controlv1.Member{
		NodeId: member.NodeID, Address: member.Address, Zone: member.Zone, Region: member.Region,
		Incarnation: member.Incarnation, State: controlv1.MemberState(member.State), StoreId: member.StoreID,
	}
}

// fromMessage decodes a member. It returns false if the identifier or address is missing or the state is unknown.
func fromMessage(message *controlv1.Member) (Member, bool) {
	state := State(message.GetState())
	if message.GetNodeId() == "" || message.GetAddress() == "" || state < StateAlive || state > StateDead {
		return Member{}, false
	}
	return Member{
		NodeID: message.GetNodeId(), Address: message.GetAddress(), Zone: message.GetZone(), Region: message.GetRegion(),
		Incarnation: message.GetIncarnation(), State: state, StoreID: message.GetStoreId(),
	}, true
}

func toMessages(members []Member) []*controlv1.Member {
	messages := make([]*controlv1.Member, 0, len(members))
	for _, member := range members {
		messages = append(messages, toMessage(member))
	}
	return messages
}

func fromMessages(messages []*controlv1.Member) []Member {
	members := make([]Member, 0, len(messages))
	for _, message := range messages {
		if member, ok := fromMessage(message); ok {
			members = append(members, member)
		}
	}
	return members
}
