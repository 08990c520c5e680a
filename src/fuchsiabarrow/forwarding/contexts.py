"""What the handlers of all requests of an entry share."""

from collections.abc import Callable
import dataclasses
import random

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.forwarding import evidence as evidence_module
from fuchsiabarrow.forwarding import ledgers
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import retries
from fuchsiabarrow.forwarding import schedulers
from fuchsiabarrow.limits import upstream_limits as upstream_limits_module
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import loop_lags as loop_lags_module

__all__ = ["Context"]


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What the handlers of all requests of an entry share.

    Only settings that never change are fields. Those that an operator may
    replace are read from the object that they bound.

    Attributes:
        failure_domain: Failure domain of this entry. Upstreams in the same
            failure domain are preferred.
        directory: Registered upstreams and recent evidence of their failures.
        load_table: Load in flight at each upstream.
        codec: Encodes requests and decodes responses.
        pool: Connections to upstreams.
        control: Changes the paths of running streams.
        get_catalog: Returns the configuration in force.
        ledger: Requests in progress and the refusals that follow from them.
        evidence: What is known against upstreams and requests.
        retry_budgets: Retry budgets of all services.
        scheduler: Decides when streams of competing ranks start.
        upstream_limits: Rate limits that upstreams announced.
        loop_lags: Tells when the event loop was late, while streams run.
        random_source: Random number generator.
        metrics: Metrics of the entry.
    """

    failure_domain: str
    directory: directory_module.Directory
    load_table: loads.LoadTable
    codec: messages.Codec
    pool: connection_pools.ConnectionPool
    control: pipelines.EngineControl
    get_catalog: Callable[[], documents.Catalog | None]
    ledger: ledgers.Ledger
    evidence: evidence_module.Evidence
    retry_budgets: retries.RetryBudgets
    scheduler: schedulers.Scheduler
    upstream_limits: upstream_limits_module.UpstreamLimits
    loop_lags: loop_lags_module.LoopLagMeter
    random_source: random.Random
    metrics: metrics_module.ForwardingMetrics
