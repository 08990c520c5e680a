"""Soak test: seeded load and fault injection against entry processes."""
