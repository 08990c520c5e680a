"""Tests of the subpackage."""
