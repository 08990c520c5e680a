"""Headers, paths and object names of the platform's HTTP interfaces."""

__all__ = [
    "ATTEMPT_ID",
    "AUTHORIZATION",
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
    "PROMPT_PARTS",
    "RATE_LIMIT",
    "READY_PATH",
    "REPORT_PATH",
    "RETRY_AFTER",
    "SEAL",
    "SERVER_LEAVING",
    "STORE_ERA",
    "SYSTEM_HEADERS",
    "TOKEN_COUNTS",
    "TOKEN_SCHEME",
    "UPSTREAMS_KIND",
    "UPSTREAM_AT_FAULT",
]

ATTEMPT_ID = "Attempt-Id"
AUTHORIZATION = "Authorization"
TOKEN_SCHEME = "Token"
DEADLINE_MS = "Deadline-Ms"
# Id of the only upstream that may run the request.
EXPECT_INSTANCE = "Expect-Instance"
LAST_EVENT_ID = "Last-Event-Id"
# The caller's estimate of the number of output tokens.
LENGTH_HINT = "Length-Hint"
# Present if the upstream did not run the request.
NOT_RUN = "Not-Run"
# Name of the organisation that owns the caller's key.
ORGANISATION = "Tenant"
# Despite its name not a count: addresses of the upstreams that the request
# passes through in turn, each with its layers.
PATH = "Hop-Count"
# Order in which an upstream admits requests: 0 to 9, 0 first. It assumes 5 for
# a request without it.
PRIORITY = "Request-Priority"
# Parts of the prompt in order, as comma-separated ID:TOKENS. The last one
# belongs to the request itself or to its session.
PROMPT_PARTS = "Prompt-Prefix"
RETRY_AFTER = "Retry-After"
# Shows that a response was produced by the upstream.
SEAL = "Response-Seal"
# "1" if the upstream that answers is leaving.
SERVER_LEAVING = "Server-Leaving"
# Number in the store's answers that rises when it returns to an earlier state.
STORE_ERA = "Store-Era"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNTS = "Token-Count"
# Address of the upstream that caused a 421 or 503.
UPSTREAM_AT_FAULT = "At-Server"

# Requests per second that the upstream takes from all entries together.
RATE_LIMIT = "Server-Limit"

READY_PATH = "/ready"
# Kinds of objects in the store: the list of upstreams, and the configuration.
UPSTREAMS_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
REPORT_PATH = "/report"
ORDER_PATH = "/order"

# Headers that the system sets itself and that are not taken from a caller.
SYSTEM_HEADERS = frozenset(
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
