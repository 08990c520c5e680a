"""Tests of the service container."""
