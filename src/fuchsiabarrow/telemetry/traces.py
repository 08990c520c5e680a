"""OpenTelemetry traces with one span per hop; not exported by default."""

from collections.abc import Sequence

import logbook
import msgspec
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export

from fuchsiabarrow.telemetry import logs

__all__ = ["Settings", "make_tracer"]

EXPORTERS = ("none", "log")
NANOSECONDS_PER_S = 1e9

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Tracing.

    Attributes:
        exporter: ``none`` disables tracing; ``log`` writes one log line per
            span.
    """

    exporter: str = "none"


class _LogExporter(export.SpanExporter):
    """Writes each span as one log line, on the event loop's thread."""

    def export(self, spans: Sequence[sdk_trace.ReadableSpan]):
        for span in spans:
            duration_s = (span.end_time - span.start_time) / NANOSECONDS_PER_S
            _log.info(
                logs.format_event(
                    "span",
                    name=span.name,
                    trace_id=f"{span.context.trace_id:032x}",
                    span_id=f"{span.context.span_id:016x}",
                    duration_s=round(duration_s, 6),
                    **dict(span.attributes or {}),
                )
            )
        return export.SpanExportResult.SUCCESS


def make_tracer(
    settings: Settings, exporter: export.SpanExporter | None = None
) -> trace.Tracer:
    """Returns a tracer; without an exporter it creates no-op spans.

    Spans are exported one by one on the event loop's thread because the batch
    processor of OpenTelemetry would start a thread.

    Args:
        settings: Selects the exporter.
        exporter: Overrides the exporter of the settings.
    """
    if exporter is None and settings.exporter == "log":
        exporter = _LogExporter()
    if exporter is None:
        return trace.NoOpTracerProvider().get_tracer("fuchsiabarrow")
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource({"service.name": "fuchsiabarrow"}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    return provider.get_tracer("fuchsiabarrow")
