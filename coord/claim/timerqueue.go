package claim

// timed is an item of a timerQueue. dueAt is a local time; heapIndex points to where the item
// stores its index in the heap.
type timed interface {
	dueAt() int64
	heapIndex() *int32
}

// notQueued is the heap index of an item that is in no queue.
const notQueued int32 = -1

// timerQueue is a binary heap of items, the earliest due first.
type timerQueue[T timed] struct {
	items []T
}

// first returns the item that is due first.
func (q *timerQueue[T]) first() (item T, ok bool) {
	if len(q.items) == 0 {
		return item, false
	}
	return q.items[0], true
}

// set inserts an item, or moves it after its due time has changed.
func (q *timerQueue[T]) set(item T) {
	index := item.heapIndex()
	if *index == notQueued {
		*index = int32(len(q.items))
		q.items = append(q.items, item)
	}
	q.up(int(*index))
	q.down(int(*item.heapIndex()))
}

// remove removes an item, if it is queued.
func (q *timerQueue[T]) remove(item T) {
	index := *item.heapIndex()
	if index == notQueued {
		return
	}
	last := len(q.items) - 1
	q.swap(int(index), last)
	var zero T
	q.items[last] = zero
	q.items = q.items[:last]
	*item.heapIndex() = notQueued
	if int(index) < last {
		q.up(int(index))
		q.down(int(index))
	}
}

func (q *timerQueue[T]) swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	*q.items[i].heapIndex() = int32(i)
	*q.items[j].heapIndex() = int32(j)
}

func (q *timerQueue[T]) less(i, j int) bool {
	return q.items[i].dueAt() < q.items[j].dueAt()
}

func (q *timerQueue[T]) up(i int) {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *timerQueue[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.items); child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
