package claim

// timed is an item of a queue: it knows when it is due and its place in the queue.
type timed interface {
	dueAt() int64
	place() *int32
}

// noPlace is the place of an item that is in no queue.
const noPlace int32 = -1

// queue is a binary heap of items, the earliest due first.
type queue[T timed] struct {
	items []T
}

// first returns the item due first.
func (q *queue[T]) first() (item T, ok bool) {
	if len(q.items) == 0 {
		return item, false
	}
	return q.items[0], true
}

// set puts an item in, or moves it after its due time has changed.
func (q *queue[T]) set(item T) {
	place := item.place()
	if *place == noPlace {
		*place = int32(len(q.items))
		q.items = append(q.items, item)
	}
	q.up(int(*place))
	q.down(int(*item.place()))
}

// remove takes an item out, if it is in.
func (q *queue[T]) remove(item T) {
	at := *item.place()
	if at == noPlace {
		return
	}
	last := len(q.items) - 1
	q.swap(int(at), last)
	var none T
	q.items[last] = none
	q.items = q.items[:last]
	*item.place() = noPlace
	if int(at) < last {
		q.up(int(at))
		q.down(int(at))
	}
}

func (q *queue[T]) swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	*q.items[i].place() = int32(i)
	*q.items[j].place() = int32(j)
}

func (q *queue[T]) less(i, j int) bool {
	return q.items[i].dueAt() < q.items[j].dueAt()
}

func (q *queue[T]) up(i int) {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *queue[T]) down(i int) {
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
