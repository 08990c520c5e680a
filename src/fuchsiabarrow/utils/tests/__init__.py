"""Tests of the general helpers, and helpers for other tests."""
