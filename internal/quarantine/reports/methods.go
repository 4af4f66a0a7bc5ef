package reports

const (
	// suspectMethod reports the suspects of a crash. Its parameters are a
	// crashReport, its result is a crashResponse.
	suspectMethod = "quarantine.suspect"
	// shareMethod passes on quarantined fingerprints. Its parameters are a
	// quarantineList; it has no result.
	shareMethod = "quarantine.share"
	// maxFingerprints bounds the fingerprints of one message. It exceeds the calls
	// that run on an upstream at once.
	maxFingerprints = 1024
)
