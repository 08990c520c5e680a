"""Seeded soak: entries as processes, faults from outside, promises."""
