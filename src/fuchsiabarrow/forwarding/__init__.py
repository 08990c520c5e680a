"""Forwarding of requests to upstreams: attempts, retries and streams.

An entry is a gateway process that runs this code. Several entries share the
upstreams and the retry budgets, and report loads, failures and crashes to one
another.
"""

__all__ = ["connections", "events", "generations", "messages", "service"]
