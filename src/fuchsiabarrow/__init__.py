"""Router for pipelines of a language model split over mixed accelerators.

The package can be used as a library; ``fuchsiabarrow.commands`` is a thin layer
of command-line programs on top of it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
