"""Tests of the configuration in force."""
