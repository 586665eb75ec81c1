package life

import (
	"slices"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

var taskStates = []TaskState{
	TaskWaiting, TaskIntended, TaskRunning, TaskStopping, TaskDone, TaskFailed, TaskCancelled, TaskUnknown,
}

var taskTriggers = []TaskTrigger{
	TaskAssign, TaskConfirm, TaskStop, TaskRequeue, TaskComplete, TaskGiveUp, TaskCancel, TaskLose,
	TaskAdoptIntended, TaskAdoptRunning, TaskAdoptStopping,
}

func TestTaskTransitions(t *testing.T) {
	c := NewTaskCycle()
	// Each row lists the triggers that a state rejects.
	rejected := map[TaskState][]TaskTrigger{
		TaskWaiting:   {TaskConfirm, TaskStop, TaskRequeue},
		TaskIntended:  {TaskAssign},
		TaskRunning:   {TaskAssign},
		TaskStopping:  {TaskAssign, TaskConfirm},
		TaskDone:      taskTriggers,
		TaskFailed:    taskTriggers,
		TaskCancelled: taskTriggers,
		TaskUnknown:   taskTriggers,
	}
	for _, from := range taskStates {
		for _, trigger := range taskTriggers {
			t.Run(string(from)+"/"+string(trigger), func(t *testing.T) {
				to, err := c.Fire(from, trigger)
				want := slices.Contains(rejected[from], trigger)
				if want != errs.Is(err, errs.Internal) {
					t.Fatalf("rejected is %v, want %v: %v", err != nil, want, err)
				}
				if err != nil && to != from {
					t.Fatalf("a rejected trigger moved the task to %s", to)
				}
			})
		}
	}
}

func TestEndTriggersReachTheirState(t *testing.T) {
	c := NewTaskCycle()
	for _, to := range []TaskState{TaskWaiting, TaskDone, TaskFailed, TaskCancelled, TaskUnknown} {
		trigger, err := EndTrigger(to)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := c.Fire(TaskRunning, trigger); err != nil || got != to {
			t.Errorf("%s led to %s, %v; want %s", trigger, got, err, to)
		}
	}
	if _, err := EndTrigger(TaskRunning); !errs.Is(err, errs.Internal) {
		t.Error("EndTrigger accepted state Running")
	}
	if _, err := AdoptTrigger(TaskDone); !errs.Is(err, errs.Internal) {
		t.Error("AdoptTrigger accepted state Done")
	}
}

func TestEndedJobsStayEnded(t *testing.T) {
	c := NewJobCycle()
	for _, from := range []types.JobState{
		types.JobDone, types.JobFailed, types.JobCancelled, types.JobMoved, types.JobUnknown,
	} {
		for _, trigger := range []JobTrigger{JobStart, JobRequeue, JobComplete, JobFail, JobCancel, JobLose, JobMove} {
			if _, err := c.Fire(from, trigger); !errs.Is(err, errs.Internal) {
				t.Errorf("state %s permitted trigger %s", from, trigger)
			}
		}
	}
}

func TestARunningJobIsNotMoved(t *testing.T) {
	if _, err := NewJobCycle().Fire(types.JobRunning, JobMove); !errs.Is(err, errs.Internal) {
		t.Fatal("a running job was moved")
	}
}

func BenchmarkTaskCycle(b *testing.B) {
	c := NewTaskCycle()
	for b.Loop() {
		s, _ := c.Fire(TaskWaiting, TaskAssign)
		s, _ = c.Fire(s, TaskConfirm)
		c.Fire(s, TaskComplete)
	}
}
