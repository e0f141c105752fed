package gossiper

import "google.golang.org/protobuf/proto"

// queueItem is a message that other hosts may not have yet.
type queueItem[T proto.Message] struct {
	key     string
	message T
	// left is how many more times the message is sent; 0 if a newer one replaced it.
	left int
}

// queue holds the messages that are still to be spread, the newest of each key. The zero
// value is empty.
type queue[T proto.Message] struct {
	byKey map[string]*queueItem[T]
	// unsent holds the items that were not sent yet, and sent the others, in the order
	// in which they are due. Both may hold replaced items.
	unsent, sent []*queueItem[T]
}

// add queues a message, in place of an older one of the same key. hosts is the number of
// known hosts.
func (q *queue[T]) add(key string, m T, hosts int) {
	if q.byKey == nil {
		q.byKey = make(map[string]*queueItem[T])
	}
	if old, ok := q.byKey[key]; ok {
		old.left = 0
	}
	item := &queueItem[T]{key: key, message: m, left: spread(hosts)}
	q.byKey[key] = item
	q.unsent = append(q.unsent, item)
}

// len returns the number of messages that are still to be spread.
func (q *queue[T]) len() int { return len(q.byKey) }

// take returns messages for one datagram, at most the given number of bytes, first those
// that were not sent yet, and counts them as sent.
func (q *queue[T]) take(mostBytes int) []T {
	var taken []*queueItem[T]
	var messages []T
	for size := 0; ; {
		item := q.peek()
		if item == nil {
			break
		}
		if size += proto.Size(item.message); size > mostBytes {
			break
		}
		q.pop()
		taken = append(taken, item)
		messages = append(messages, item.message)
	}
	for _, item := range taken {
		item.left--
		if item.left > 0 {
			q.sent = append(q.sent, item)
		} else {
			delete(q.byKey, item.key)
		}
	}
	return messages
}

// peek drops replaced items and returns the next item, or nil if there is none.
func (q *queue[T]) peek() *queueItem[T] {
	for {
		var next *queueItem[T]
		switch {
		case len(q.unsent) > 0:
			next = q.unsent[0]
		case len(q.sent) > 0:
			next = q.sent[0]
		default:
			return nil
		}
		if next.left > 0 {
			return next
		}
		q.pop()
	}
}

// pop removes the item that peek returned.
func (q *queue[T]) pop() {
	if len(q.unsent) > 0 {
		q.unsent = q.unsent[1:]
		return
	}
	q.sent = q.sent[1:]
}
