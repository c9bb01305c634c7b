package jobs

import (
	"iter"
	"unsafe"

	"opaldale/internal/ident"
)

// tasksPerChunk is the number of tasks of a TaskList that are created together.
const tasksPerChunk = 64

// TaskList holds the tasks of a job, numbered from 0. A task is created when it is first asked for by its number: until then it
// waits, was never placed, and takes no memory. Pointers to tasks stay valid.
type TaskList struct {
	job    *Job
	count  int
	since  ident.MonotonicTime // StateSince of tasks that are not created yet
	chunks [][]Task            // of tasksPerChunk tasks each, but the last one; nil: not created
	size   int                 // number of created tasks
}

func newTaskList(j *Job, count int, since ident.MonotonicTime) TaskList {
	return TaskList{job: j, count: count, since: since, chunks: make([][]Task, chunkCount(count))}
}

// chunkCount returns the number of chunks for a number of tasks.
func chunkCount(tasks int) int { return (tasks + tasksPerChunk - 1) / tasksPerChunk }

// taskListBytes returns the memory of a list for a number of tasks, some of which have been created, without that of the texts
// in the tasks.
func taskListBytes(tasks, created int) int {
	return chunkCount(tasks)*int(unsafe.Sizeof([]Task{})) + created*int(unsafe.Sizeof(Task{}))
}

// Len returns the number of tasks of the job, created or not.
func (l *TaskList) Len() int { return l.count }

// At returns a task. It panics if the job has no task with that number.
func (l *TaskList) At(index int) *Task {
	if index >= l.count {
		panic("jobs: task number out of range")
	}
	number := index / tasksPerChunk
	if l.chunks[number] == nil {
		l.createChunk(number)
	}
	return &l.chunks[number][index%tasksPerChunk]
}

func (l *TaskList) createChunk(number int) {
	first := number * tasksPerChunk
	chunk := make([]Task, min(tasksPerChunk, l.count-first))
	for i := range chunk {
		chunk[i] = Task{Job: l.job, Index: first + i, StateSince: l.since}
	}
	l.chunks[number] = chunk
	l.size += len(chunk)
}

// All returns the tasks in order of their numbers, and creates them.
func (l *TaskList) All() iter.Seq2[int, *Task] {
	return func(yield func(int, *Task) bool) {
		for i := range l.count {
			if !yield(i, l.At(i)) {
				return
			}
		}
	}
}

// Created returns the tasks that have been created, in order of their numbers. All other tasks wait and were never placed.
func (l *TaskList) Created() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, chunk := range l.chunks {
			for i := range chunk {
				if !yield(&chunk[i]) {
					return
				}
			}
		}
	}
}

// created returns a task, or nil if it has not been created.
func (l *TaskList) created(index int) *Task {
	chunk := l.chunks[index/tasksPerChunk]
	if chunk == nil {
		return nil
	}
	return &chunk[index%tasksPerChunk]
}
