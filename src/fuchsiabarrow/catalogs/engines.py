"""Performance model of engines that each run some layers of a model.

A request passes through instances that together hold all layers. Times are
given for an accelerator whose factors are 1; a kind of accelerator multiplies
them by its own factors.
"""

import dataclasses

__all__ = ["WEIGHTS_MARGIN_MB", "AcceleratorKind", "EnginePerformance"]

# Memory left free beside the weights, so that rounding errors cannot place more
# on an instance than its memory holds.
WEIGHTS_MARGIN_MB = 1.0
TOKENS_PER_K = 1000.0
BYTES_PER_MB = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    Attributes:
        name: Name that instances register with.
        memory_mb: Memory for weights and context (KV cache).
        step_factor: Factor on the time of a decoding step.
        prefill_factor: Factor on the time to prefill prompts.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePerformance:
    """Timing, memory and network constants of an engine.

    Attributes:
        layers: Number of layers of the model.
        layer_mb: Size of the weights of one layer.
        slots: Maximum number of concurrent requests for which one instance
            is the first of the path.
        kv_bytes_per_token: KV cache size of one token of context over all
            layers.
        step_ms: Fixed time of a decoding step over all layers.
        step_per_request_ms: Additional step time for each request in the
            batch.
        step_per_k_context_ms: Additional step time for each 1,000 tokens of
            context in the batch.
        prefill_tokens_per_s: Prompt tokens prefilled per second over all
            layers.
        tokens_per_event: Tokens in one event of a stream.
        load_s: Time to load all layers.
        mean_prompt_tokens: Mean prompt length in tokens.
        mean_answer_tokens: Mean answer length in tokens.
        activation_bytes_per_token: Size of the activations sent between
            instances for each token.
        link_mbps: Shared bandwidth between two failure domains.
        domain_delay_ms: One-way delay between two failure domains.
        kinds: Kinds of accelerators by name.
    """

    layers: int
    layer_mb: float
    slots: int
    kv_bytes_per_token: float
    step_ms: float
    step_per_request_ms: float
    step_per_k_context_ms: float
    prefill_tokens_per_s: float
    tokens_per_event: int
    load_s: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    activation_bytes_per_token: float
    link_mbps: float
    domain_delay_ms: float
    kinds: dict[str, AcceleratorKind]

    def count_context_tokens(self, kind: str, layer_count: int) -> float:
        """Returns how many context tokens fit beside `layer_count` layers."""
        memory_mb = self.kinds[kind].memory_mb
        free_mb = memory_mb - layer_count * self.layer_mb
        token_mb = (
            self.kv_bytes_per_token / self.layers * layer_count / BYTES_PER_MB
        )
        return max(0.0, free_mb / token_mb) if layer_count else 0.0

    def count_layers_beside(self, kind: str, context_tokens: float) -> int:
        """Returns how many layers fit beside `context_tokens` of context."""
        context_mb = self.kv_bytes_per_token / self.layers / BYTES_PER_MB
        per_layer_mb = self.layer_mb + context_tokens * context_mb
        return int(
            (self.kinds[kind].memory_mb - WEIGHTS_MARGIN_MB) / per_layer_mb
        )

    def compute_step_ms(
        self, kind: str, requests: float, context_tokens: float
    ) -> float:
        """Returns the time of one decoding step over all layers.

        Args:
            kind: Kind of accelerator.
            requests: Number of requests in the batch.
            context_tokens: Sum of their context lengths.
        """
        factor = self.kinds[kind].step_factor
        return factor * (
            self.step_ms
            + requests * self.step_per_request_ms
            + context_tokens / TOKENS_PER_K * self.step_per_k_context_ms
        )

    def compute_prefill_ms(self, kind: str, prompt_tokens: float) -> float:
        """Returns the time to prefill a prompt through all layers."""
        factor = self.kinds[kind].prefill_factor
        return factor * prompt_tokens / self.prefill_tokens_per_s * 1000.0
