package lead

// Steps at which the lead can be made to fail.
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

// step names a point between two effects.
type step string
