package admissionqueue

import (
	"reflect"
	"testing"
)

// Guards against a preview that differs from the place after a real arrival, or that
// changes the queue or the entries that wait.
func TestPreviewIsThePlaceOfAnArrivalAndChangesNothing(t *testing.T) {
	q := New()
	for _, priority := range []int{0, 2, 5} {
		q.Join(request(priority), start)
	}
	q.DidNotFit(q.Next(at(1), 1), at(1), 1)
	before := q.clone()
	place, tried := q.Preview(*request(3), at(2), 1)
	if place != 3 {
		t.Errorf("previewed at place %d, want 3", place)
	}
	if !reflect.DeepEqual(before, q.clone()) {
		t.Error("the queue has changed")
	}
	arrival, found := request(3), false
	q.Join(arrival, at(2))
	for e := q.Next(at(2), 1); e != nil; e = q.Next(at(2), 1) {
		found = found || e == arrival
		q.DidNotFit(e, at(2), 1)
	}
	if q.order(at(2))[place-1] != arrival || found != tried {
		t.Errorf("the arrival isn't at place %d, or was tried %v instead of %v", place, found, tried)
	}
	if _, tried := New().Preview(*request(3), at(2), 0); !tried {
		t.Error("a request in an empty queue isn't tried at once")
	}
}
