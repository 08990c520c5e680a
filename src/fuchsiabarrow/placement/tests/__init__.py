"""Tests of the placement."""
