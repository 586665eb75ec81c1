package lead

// Steps before or after which tests make a leader fail.
const (
	stepCommit  step = "Commit"
	stepStart   step = "Start"
	stepStarted step = "Started"
	stepRenew   step = "Renew"
	stepClaim   step = "Claim"
	stepLoad    step = "Load"
	stepFence   step = "Fence"
	stepStop    step = "Stop"
	stepOffer   step = "Offer"
	stepTake    step = "Take"
)

// step names a point between two external effects.
type step string
