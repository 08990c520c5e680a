"""Tests of the decisions on competing requests."""
