// Package types holds the ids, units and records that several packages share.
package types

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	maxNameLength = 63
	maxIDLength   = 200
	idParts       = 3
	idSeparator   = "."
)

type (
	// Region names a group of data centres that are joined by a fast network.
	Region string
	// DataCentre names one data centre.
	DataCentre string
	// Rack names one rack within a data centre.
	Rack string
	// VMID names one VM: an entry VM or a worker.
	VMID string
	// RunnerID names one running attempt of a service task that answers requests.
	RunnerID string
	// TeamID names a team that owns quotas.
	TeamID string
	// ServiceName names a service within an environment document.
	ServiceName string
	// JobID names a job. It is minted in the form of MintedID.
	JobID string
	// TaskID names one task of a job: the job's id, a slash and the index.
	TaskID string
	// AttemptID names one try at running a task: the task's id, a hash sign and the number.
	AttemptID string
	// RequestID names a request. It is minted in the form of MintedID.
	RequestID string
	// Epoch is the fencing token of a lead. It only grows within a data centre.
	Epoch uint64
	// Revision numbers the accepted versions of an environment document.
	Revision uint64

	// MintedID is the decoded form of an id: the home data centre, the epoch of the lead that
	// was known when it was minted, and a random part.
	MintedID struct {
		Home   DataCentre
		Epoch  Epoch
		Random string
	}
)

// Mint returns a new id whose home is the data centre.
func Mint(home DataCentre, epoch Epoch) MintedID {
	return MintedID{Home: home, Epoch: epoch, Random: strings.ReplaceAll(uuid.NewString(), "-", "")}
}

// String returns the id's written form, home.epoch.random.
func (m MintedID) String() string {
	return strings.Join([]string{string(m.Home), strconv.FormatUint(uint64(m.Epoch), 10), m.Random}, idSeparator)
}

// ParseID reads the written form of a minted id.
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

// Index returns the task's number within its job, or -1 when the id is malformed.
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

// CheckName returns an error unless the text is a name: 1 to 63 lower-case letters, digits and dashes.
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
