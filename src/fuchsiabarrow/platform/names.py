"""Names of headers and calls on the platform's wire."""

__all__ = [
    "ANSWERED_BY",
    "ATTEMPT_ID",
    "AUTHORIZATION",
    "CALLER_PATH_HEADERS",
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "NOT_RUN",
    "ORDER_PATH",
    "ORGANISATION",
    "PATH",
    "PRIORITY",
    "READY_PATH",
    "REPORT_PATH",
    "RETRY_AFTER",
    "SEAL",
    "TOKEN_COUNTS",
    "TOKEN_SCHEME",
    "UPSTREAMS_KIND",
]

ATTEMPT_ID = "Attempt-Id"
AUTHORIZATION = "Authorization"
TOKEN_SCHEME = "Token"
DEADLINE_MS = "Deadline-Ms"
# Id of the runner that alone may run the request.
EXPECT_INSTANCE = "Expect-Instance"
LAST_EVENT_ID = "Last-Event-Id"
# The caller's estimate of output tokens.
LENGTH_HINT = "Length-Hint"
NOT_RUN = "Not-Run"
# The organisation that holds the caller's key.
ORGANISATION = "Tenant"
# Not a count: the instances that a request passes, with their layers.
PATH = "Hop-Count"
PRIORITY = "Request-Priority"
RETRY_AFTER = "Retry-After"
# The runner's proof of origin.
SEAL = "Response-Seal"
# Prompt tokens and most output tokens, separated by a comma.
TOKEN_COUNTS = "Token-Count"
# The runner that is to blame for a 421 or 503.
ANSWERED_BY = "At-Server"

READY_PATH = "/ready"
# Kinds of the store's objects: the list of runners, and the configuration.
UPSTREAMS_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
REPORT_PATH = "/report"
ORDER_PATH = "/order"

# Headers that the system sets itself, whatever a caller sent.
CALLER_PATH_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        LAST_EVENT_ID,
        ORGANISATION,
        PATH,
        PRIORITY,
        "Expect-Version",
        "Content-Length",
    )
)
