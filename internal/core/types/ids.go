// Package types defines the ids, units and records that several packages share.
package types

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	// maxNameLength and maxIDLength are in bytes.
	maxNameLength = 63
	maxIDLength   = 200
	idParts       = 3
	idSeparator   = "."
)

type (
	// Region identifies a group of data centres that are connected by a fast network.
	Region string
	// DataCentre identifies a data centre.
	DataCentre string
	// Rack identifies a rack within a data centre.
	Rack string
	// VMID identifies a VM, which is an entry VM or a worker.
	VMID string
	// RunnerID identifies a runner: a running attempt of a service task, which answers requests.
	RunnerID string
	// TeamID identifies a team, which has quotas.
	TeamID string
	// ServiceName identifies a service within an environment document.
	ServiceName string
	// JobID identifies a job. It has the form of a MintedID.
	JobID string
	// TaskID identifies a task of a job. It consists of the job's id, a slash and the index of the task.
	TaskID string
	// AttemptID identifies an attempt to run a task. It consists of the task's id, a hash sign and the attempt's number.
	AttemptID string
	// RequestID identifies a request. It has the form of a MintedID.
	RequestID string
	// Epoch is the fencing token of a leader. Within a data centre it only increases.
	Epoch uint64
	// Revision is the number of an accepted version of an environment document.
	Revision uint64

	// MintedID is the decoded form of the id of a job or request: its home data centre, the epoch of the
	// leader that was known when the id was minted, and a random part.
	MintedID struct {
		Home   DataCentre
		Epoch  Epoch
		Random string
	}
)

// Mint returns a new unique id with the home data centre and the epoch of the known leader.
func Mint(home DataCentre, epoch Epoch) MintedID {
	return MintedID{Home: home, Epoch: epoch, Random: strings.ReplaceAll(uuid.NewString(), "-", "")}
}

// String returns the id in the form home.epoch.random.
func (m MintedID) String() string {
	return strings.Join([]string{string(m.Home), strconv.FormatUint(uint64(m.Epoch), 10), m.Random}, idSeparator)
}

// ParseID parses an id of the form home.epoch.random. Errors are of kind Invalid.
func ParseID(text string) (MintedID, error) {
	if len(text) > maxIDLength {
		return MintedID{}, errs.New(errs.Invalid, "id is over %d bytes", maxIDLength)
	}
	parts := strings.Split(text, idSeparator)
	if len(parts) != idParts {
		return MintedID{}, errs.New(errs.Invalid, "id %q is not of the form home.epoch.random", text)
	}
	if err := CheckName("home data centre", parts[0]); err != nil {
		return MintedID{}, err
	}
	epoch, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return MintedID{}, errs.New(errs.Invalid, "id %q has a wrong epoch", text)
	}
	if err := CheckName("random part", parts[2]); err != nil {
		return MintedID{}, err
	}
	return MintedID{Home: DataCentre(parts[0]), Epoch: Epoch(epoch), Random: parts[2]}, nil
}

// Task returns the id of the job's task with the given index.
func (j JobID) Task(index int) TaskID {
	return TaskID(fmt.Sprintf("%s/%d", j, index))
}

// Job returns the id of the task's job.
func (t TaskID) Job() JobID {
	job, _, _ := strings.Cut(string(t), "/")
	return JobID(job)
}

// Index returns the index of the task within its job, or -1 if the id is malformed.
func (t TaskID) Index() int {
	_, tail, _ := strings.Cut(string(t), "/")
	index, err := strconv.Atoi(tail)
	if err != nil {
		return -1
	}
	return index
}

// Attempt returns the id of the task's attempt with the given number.
func (t TaskID) Attempt(number int) AttemptID {
	return AttemptID(fmt.Sprintf("%s#%d", t, number))
}

// Task returns the id of the attempt's task.
func (a AttemptID) Task() TaskID {
	task, _, _ := strings.Cut(string(a), "#")
	return TaskID(task)
}

// CheckName returns an error of kind Invalid unless the text is a name: 1 to 63 lower-case letters, digits and dashes.
// The error names the field.
func CheckName(field, text string) error {
	if text == "" || len(text) > maxNameLength {
		return errs.New(errs.Invalid, "%s %q must have 1 to %d characters", field, text, maxNameLength)
	}
	for _, r := range text {
		if !isNameRune(r) {
			return errs.New(errs.Invalid, "%s %q may hold only a-z, 0-9 and -", field, text)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	return (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9') || r == '-'
}
