package jobs

import "testing"

// TestTaskList checks that a task exists once under its number, that only the tasks asked for are created, with those of their
// chunk, and that both orders are those of the numbers.
func TestTaskList(t *testing.T) {
	const count = 3*tasksPerChunk + 5
	j := &Job{}
	j.Tasks = newTaskList(j, count, 17)
	last := j.Tasks.At(count - 1)
	if last.Index != count-1 || last.Job != j || last.State != Waiting || last.StateSince != 17 || last != j.Tasks.At(count-1) {
		t.Errorf("last task: got %+v, want a waiting task that is created once", last)
	}
	if j.Tasks.created(0) != nil || j.Tasks.created(count-2) == nil {
		t.Error("got a task of the first chunk created, or none of the last one, want only the last chunk")
	}
	created := 0
	for task := range j.Tasks.Created() {
		if want := count - 5 + created; task.Index != want {
			t.Errorf("created task: got number %d, want %d", task.Index, want)
		}
		created++
	}
	if created != 5 || j.Tasks.Len() != count {
		t.Errorf("got %d of %d tasks created, want 5 of %d", created, j.Tasks.Len(), count)
	}
	number := 0
	for i, task := range j.Tasks.All() {
		if i != number || task.Index != number || task != j.Tasks.At(i) {
			t.Errorf("task %d: got number %d at %d", number, task.Index, i)
		}
		number++
	}
	if number != count {
		t.Errorf("got %d tasks, want %d", number, count)
	}
	defer func() {
		if recover() == nil {
			t.Error("task beyond the last one: got no panic, want one")
		}
	}()
	j.Tasks.At(count)
}
