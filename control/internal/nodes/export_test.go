package nodes

// SharedEncoding exposes sharedEncoding to tests.
var SharedEncoding = sharedEncoding

// SnapshotSlots exposes snapshotSlots to tests.
type SnapshotSlots = snapshotSlots

// Acquire exposes snapshotSlots.acquire to tests.
var Acquire = snapshotSlots.acquire
