"""Traces with a span for each hop; no exporter by default."""

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
    """Settings of the traces.

    Attributes:
        exporter: ``none``, or ``log`` for one log line a span.
    """

    exporter: str = "none"


class _LogExporter(export.SpanExporter):
    """Writes each span as a log line, on the loop's thread."""

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
    """Returns a tracer; without an exporter its spans record nothing.

    Spans are exported one by one on the loop's thread: the batch processor of
    the library would start a thread.

    Args:
        settings: Which exporter to use.
        exporter: Replaces the exporter of the settings.
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
