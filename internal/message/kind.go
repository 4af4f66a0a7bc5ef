package message

// Kind names a message type on the wire.
type Kind string

// The kinds of messages. Their values are method names on the wire.
const (
	KindHeartbeat     Kind = "heartbeat"
	KindAnnounce      Kind = "announce"
	KindPullRequest   Kind = "pullRequest"
	KindPullResponse  Kind = "pullResponse"
	KindMemberUpdates Kind = "memberUpdates"
	KindTableDigests  Kind = "tableDigests"
	KindJoinRequest   Kind = "joinRequest"
	KindJoinResponse  Kind = "joinResponse"
	KindCrashReport   Kind = "crashReport"
	KindCrashAck      Kind = "crashAck"
)

// Bulk reports whether messages of the kind may be large. They use a connection
// of their own, so that heartbeats and member updates never wait for a large
// message.
func (k Kind) Bulk() bool {
	return k == KindPullResponse || k == KindJoinResponse
}

// New returns an empty message of the kind, or an *UnknownKindError.
func New(k Kind) (Message, error) {
	switch k {
	case KindHeartbeat:
		return &Heartbeat{}, nil
	case KindAnnounce:
		return &Announce{}, nil
	case KindPullRequest:
		return &PullRequest{}, nil
	case KindPullResponse:
		return &PullResponse{}, nil
	case KindMemberUpdates:
		return &MemberUpdates{}, nil
	case KindTableDigests:
		return &TableDigests{}, nil
	case KindJoinRequest:
		return &JoinRequest{}, nil
	case KindJoinResponse:
		return &JoinResponse{}, nil
	case KindCrashReport:
		return &CrashReport{}, nil
	case KindCrashAck:
		return &CrashAck{}, nil
	}
	return nil, &UnknownKindError{Kind: k}
}
