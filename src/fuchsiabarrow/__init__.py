"""Router for pipelines of a language model split over mixed accelerators.

The package is a library; the daemons in ``fuchsiabarrow.commands`` are thin.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
