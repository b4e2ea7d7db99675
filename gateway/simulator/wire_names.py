"""The names in the simulator's protocol, as constants named in the gateway's own terms."""

from typing import Final

# Keys of a batch and of the reply to it.
TIME_MS: Final = "moment"
"""The key of the simulated time, in milliseconds."""
GROUPS: Final = "groups"
INSTANCE_ID: Final = "gatewayId"
EVENTS: Final = "arrivals"
ACTIONS: Final = "out"

# Events that create or remove an instance.
CREATE_INSTANCE: Final = "create"
REMOVE_INSTANCE: Final = "exit"

# Events that an instance's policy handles.
ENDPOINT_UPDATE: Final = "backendsChanged"
REQUEST_ARRIVED: Final = "jobIn"
ATTEMPT_ENDED: Final = "ended"
RESPONSE_STARTED: Final = "underWay"
CLIENT_DISCONNECTED: Final = "lapsed"
COUNTER_RESPONSE: Final = "ledgerReply"
TIMER_FIRED: Final = "wakeup"
PEER_MESSAGE: Final = "whisper"
HEALTH_CHECKED: Final = "health"

# Actions of a policy.
START_ATTEMPT: Final = "callOut"
CANCEL_ATTEMPT: Final = "cancel"
REJECT: Final = "bounce"
FAIL: Final = "dropRequest"
SET_TIMER: Final = "sleep"
INCREMENT_COUNTER: Final = "incr"
WATCH_ENDPOINTS: Final = "follow"

# States of a backend in the endpoint list.
READY: Final = "ready"
DRAINING: Final = "draining"
REMOVED: Final = "gone"

# Kinds of endpoint updates.
DELTA: Final = "INCREMENTAL"
SNAPSHOT: Final = "FULL"
CACHED: Final = "SAVED"
WATCH_FAILED: Final = "FAILED"

# Outcomes of attempts and of calls to the counter.
OK: Final = "Ok"
FAILED: Final = "Failed"
QUEUE_FULL: Final = "QueueFull"
TIMED_OUT: Final = "TimedOut"
CONNECT_ERROR: Final = "ConnectError"
CONNECTION_RESET: Final = "ResetByPeer"
CANCELLED: Final = "Canceled"
NOT_STARTED: Final = "Ignored"
