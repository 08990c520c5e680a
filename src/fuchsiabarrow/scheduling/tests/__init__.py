"""Tests of the communication among entries."""
