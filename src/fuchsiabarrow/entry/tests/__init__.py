"""Tests of `fuchsiabarrow.entry` and helpers that start entries."""
